package reducer

import (
	"bytes"

	"banyanquay/internal/describer"
	"banyanquay/internal/encoder"
)

// Document is a published template. It keeps the bytes that it was decoded from, so
// that snapshots made by a node of an older release preserve the fields that it
// doesn't know.
type Document struct {
	describer.Template
	// raw is empty in a document that was not decoded.
	raw []byte
}

// MarshalCBOR returns the bytes that the document was decoded from, or encodes the
// template.
func (d Document) MarshalCBOR() ([]byte, error) {
	if len(d.raw) > 0 {
		return d.raw, nil
	}
	return encoder.CBOR(d.Template)
}

// UnmarshalCBOR decodes the template and keeps its bytes.
func (d *Document) UnmarshalCBOR(data []byte) error {
	t, err := encoder.FromCBOR[describer.Template](data)
	if err != nil {
		return err
	}
	*d = Document{Template: t, raw: bytes.Clone(data)}
	return nil
}
