package peers

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
	"sync"

	"github.com/rotisserie/eris"
)

const (
	// minPackedBytes is the size from which a body is compressed. Smaller ones,
	// such as those of calls for a single request, fit into one packet anyway.
	minPackedBytes = 600
	// maxBodyBytes bounds an uncompressed body. The largest is the delta that a
	// new VM gets: all records of the platform.
	maxBodyBytes = 32 << 20
)

// packedBody is the JSON form of a compressed body. The JSON-RPC library decodes
// and encodes params several times; a single string costs it far less than the
// members of a state message.
type packedBody struct {
	// Packed is the body's JSON, compressed with DEFLATE.
	Packed []byte `json:"packed"`
}

var packedPrefix = []byte(`{"packed":`)

// packer compresses and decompresses bodies. It reuses its buffers, which take
// about a megabyte, under one lock each.
type packer struct {
	writeMu sync.Mutex
	writer  *flate.Writer

	readMu sync.Mutex
	reader io.ReadCloser
}

// pack returns the packed form of a body, or the body itself if it is small.
func (p *packer) pack(body json.RawMessage) (json.RawMessage, error) {
	if len(body) < minPackedBytes {
		return body, nil
	}
	p.writeMu.Lock()
	defer p.writeMu.Unlock()
	var compressed bytes.Buffer
	if p.writer == nil {
		writer, err := flate.NewWriter(&compressed, flate.BestSpeed)
		if err != nil {
			return nil, eris.Wrap(err, "create the compressor")
		}
		p.writer = writer
	} else {
		p.writer.Reset(&compressed)
	}
	if _, err := p.writer.Write(body); err != nil {
		return nil, eris.Wrap(err, "compress a body")
	}
	if err := p.writer.Close(); err != nil {
		return nil, eris.Wrap(err, "compress a body")
	}
	return json.Marshal(packedBody{compressed.Bytes()})
}

// isPacked reports whether pack compressed a body.
func isPacked(raw json.RawMessage) bool { return bytes.HasPrefix(raw, packedPrefix) }

// unpack returns the body that pack was given. A body that is not packed is
// returned as it is.
func (p *packer) unpack(raw json.RawMessage) (json.RawMessage, error) {
	if !isPacked(raw) {
		return raw, nil
	}
	var packed packedBody
	if err := json.Unmarshal(raw, &packed); err != nil {
		return nil, eris.Wrap(err, "decode a packed body")
	}
	p.readMu.Lock()
	defer p.readMu.Unlock()
	if p.reader == nil {
		p.reader = flate.NewReader(bytes.NewReader(packed.Packed))
	} else if err := p.reader.(flate.Resetter).Reset(bytes.NewReader(packed.Packed), nil); err != nil {
		return nil, eris.Wrap(err, "decompress a body")
	}
	body, err := io.ReadAll(io.LimitReader(p.reader, maxBodyBytes+1))
	if err != nil {
		return nil, eris.Wrap(err, "decompress a body")
	}
	if len(body) > maxBodyBytes {
		return nil, eris.Errorf("body exceeds %d bytes", maxBodyBytes)
	}
	return body, nil
}
