package peer

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"sync"
)

const (
	// minPackedBytes is the length from which values are compressed.
	minPackedBytes = 4 << 10
	// maxUnpackedBytes bounds the length of a value after decompression.
	maxUnpackedBytes = 8 << 20
)

// packer compresses long values. It retains the last one, because many peers
// fetch the same value one after the other. It is safe for concurrent use.
type packer struct {
	mu            sync.Mutex
	writer        *flate.Writer
	value, packed []byte
}

// pack returns a value either unchanged or, if it is long, compressed. The other
// result is nil. The value must not be modified afterwards.
func (p *packer) pack(value []byte) (plain, packed []byte) {
	if len(value) < minPackedBytes {
		return value, nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.value) == len(value) && &p.value[0] == &value[0] {
		return nil, p.packed
	}
	var out bytes.Buffer
	if p.writer == nil {
		// The level is valid.
		p.writer, _ = flate.NewWriter(nil, flate.BestSpeed)
	}
	p.writer.Reset(&out)
	// Writes to a bytes.Buffer don't fail.
	_, _ = p.writer.Write(value)
	_ = p.writer.Close()
	p.value, p.packed = value, out.Bytes()
	return nil, p.packed
}

// unpack returns the value from the results of packer.pack.
func unpack(plain, packed []byte) ([]byte, error) {
	if packed == nil {
		return plain, nil
	}
	r := flate.NewReader(bytes.NewReader(packed))
	value, err := io.ReadAll(io.LimitReader(r, maxUnpackedBytes+1))
	if err != nil {
		return nil, fmt.Errorf("%w: compressed value: %w", errMalformed, err)
	}
	if len(value) > maxUnpackedBytes {
		return nil, fmt.Errorf("%w: compressed value has more than %d bytes", errMalformed, maxUnpackedBytes)
	}
	return value, nil
}
