package rowcopy

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"encoding/gob"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
)

const (
	// MinWireBytes is the size of a snapshot in the encoding of the store from which
	// on there is a copy: what a link of 10 Mbit/s transfers in about 50 ms.
	MinWireBytes = 64 << 10
	// maxPartBytes is the size of a part. The platform allows rows of 64 KB; it isn't
	// stated whether that is before or after their encoding, which adds a third.
	maxPartBytes = 48_000
	// maxParts bounds the parts, which in their encoding must fit, with the header,
	// into a transaction of 1 MB.
	maxParts = 15
	// maxContentBytes bounds the content after decompression, so that a damaged copy
	// doesn't exhaust the memory of an entry. It is the largest table that is read.
	maxContentBytes = 48 << 20
	// format is the version of the encoding. Copies in other formats aren't read.
	format = 1
)

// Keys of the rows of a copy, after its prefix.
const (
	headerKey  = "header"
	partPrefix = "part/"
)

// Reasons for which a copy isn't used.
var (
	errAbsent  = errors.New("there is no copy")
	errDamaged = errors.New("copy is damaged")
	errEpoch   = errors.New("copy is of another epoch")
	errFormat  = errors.New("copy has another format")
)

// header is the value of the header row.
type header struct {
	Format int `json:"format"`
	// Version is the version of the feed up to which the content is complete.
	Version uint64 `json:"version"`
	Rows    int    `json:"rows"`
	Parts   int    `json:"parts"`
	// Bytes is the size of all parts, Hash that of the content before compression.
	Bytes int    `json:"bytes"`
	Hash  uint64 `json:"hash"`
}

// content is an encoded copy; the version of its header is not set.
type content struct {
	header header
	parts  [][]byte
}

// wireBytes returns the approximate size of rows in the encoding of the store, which
// is JSON with values in base64.
func wireBytes(rows []infra.Row) int {
	size := 0
	for _, r := range rows {
		size += len(r.Key) + len(r.Value)*4/3
	}
	return size
}

// fingerprint changes if any row changes.
func fingerprint(rows []infra.Row) uint64 {
	d := xxhash.New()
	for _, r := range rows {
		_, _ = d.WriteString(r.Key)
		_, _ = d.Write(binary.LittleEndian.AppendUint64([]byte{0}, r.Version))
	}
	return d.Sum64()
}

// encode encodes rows. The result has more than maxParts parts if they are too large.
func encode(rows []infra.Row) (content, error) {
	var raw, packed bytes.Buffer
	if err := gob.NewEncoder(&raw).Encode(rows); err != nil {
		return content{}, fmt.Errorf("encode copy: %w", err)
	}
	w, err := flate.NewWriter(&packed, flate.DefaultCompression)
	if err == nil {
		_, err = w.Write(raw.Bytes())
	}
	if err == nil {
		err = w.Close()
	}
	if err != nil {
		return content{}, fmt.Errorf("compress copy: %w", err)
	}
	parts := slices.Collect(slices.Chunk(packed.Bytes(), maxPartBytes))
	return content{header: header{
		Format: format, Rows: len(rows), Parts: len(parts), Bytes: packed.Len(), Hash: xxhash.Sum64(raw.Bytes()),
	}, parts: parts}, nil
}

// partKey returns the key of a part, after the prefix. Keys sort by number.
func partKey(i int) string { return fmt.Sprintf("%s%02d", partPrefix, i) }

// decodeHeader decodes the header row. The versions of the feed and of the row are
// those of the same store, so the row is later than what it states; a header that a
// restored store kept from an earlier epoch states a version of that epoch.
func decodeHeader(row infra.Row) (header, error) {
	var h header
	if err := json.Unmarshal(row.Value, &h); err != nil {
		return header{}, fmt.Errorf("%w: header: %w", errDamaged, err)
	}
	switch {
	case h.Format != format:
		return header{}, errFormat
	case infra.EpochOf(h.Version) != infra.EpochOf(row.Version):
		return header{}, errEpoch
	case h.Version >= row.Version || h.Parts < 1 || h.Parts > maxParts || h.Bytes > maxParts*maxPartBytes:
		return header{}, fmt.Errorf("%w: header %+v of version %d", errDamaged, h, row.Version)
	}
	return h, nil
}

// decode decodes the rows of a copy as one Scan returned them.
func decode(prefix string, scanned []infra.Row) (header, []infra.Row, error) {
	var h header
	found := false
	values := make(map[string][]byte, len(scanned))
	for _, r := range scanned {
		key := strings.TrimPrefix(r.Key, prefix)
		values[key] = r.Value
		if key != headerKey {
			continue
		}
		var err error
		if h, err = decodeHeader(r); err != nil {
			return header{}, nil, err
		}
		found = true
	}
	if !found {
		return header{}, nil, errAbsent
	}
	var packed []io.Reader
	for i := range h.Parts {
		packed = append(packed, bytes.NewReader(values[partKey(i)]))
	}
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(io.MultiReader(packed...)), maxContentBytes))
	if err != nil {
		return header{}, nil, fmt.Errorf("%w: %w", errDamaged, err)
	}
	if xxhash.Sum64(raw) != h.Hash {
		return header{}, nil, fmt.Errorf("%w: content doesn't match its hash", errDamaged)
	}
	var rows []infra.Row
	if err := gob.NewDecoder(bytes.NewReader(raw)).Decode(&rows); err != nil {
		return header{}, nil, fmt.Errorf("%w: %w", errDamaged, err)
	}
	if len(rows) != h.Rows {
		return header{}, nil, fmt.Errorf("%w: %d rows of %d", errDamaged, len(rows), h.Rows)
	}
	return h, rows, nil
}
