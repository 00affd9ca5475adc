//go:build tools

// Package deps keeps the modules that the first packages of the tree need in
// go.mod until they import them themselves.
package deps

import (
	_ "connectrpc.com/connect"
	_ "github.com/anishathalye/porcupine"
	_ "github.com/google/uuid"
	_ "github.com/prometheus/client_golang/prometheus/promhttp"
	_ "github.com/prometheus/common/expfmt"
	_ "github.com/rotisserie/eris"
	_ "github.com/sirupsen/logrus"
	_ "github.com/sourcegraph/jsonrpc2"
	_ "github.com/spf13/cobra"
	_ "github.com/tmaxmax/go-sse"
	_ "github.com/uber-go/tally/v4"
	_ "github.com/uber-go/tally/v4/prometheus"
	_ "github.com/zeebo/xxh3"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/time/rate"
	_ "gotest.tools/v3/assert"
	_ "pgregory.net/rapid"
)
