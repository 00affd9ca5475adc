// Package rapidtest gives property tests a fixed seed, so that CI has the same
// verdict every time.
package rapidtest

import (
	"flag"
	"os"
	"strconv"
	"testing"
)

// Main runs the tests of a package; its TestMain calls it. The seed and the
// number of checks of each property hold unless -rapid.seed or -rapid.checks
// is given. Failed cases are not stored in files, because the seed repeats
// them.
func Main(m *testing.M, seed uint64, checks int) {
	flag.Parse()
	given := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{
		"rapid.seed":       strconv.FormatUint(seed, 10),
		"rapid.checks":     strconv.Itoa(checks),
		"rapid.nofailfile": "true",
	} {
		if given[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
