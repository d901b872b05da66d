package provider

import (
	"encoding/json"
	"errors"
	"io"
	"strings"

	"github.com/gravitational/trace"

	"banyanquay/internal/bounder"
)

const (
	// maxRecordsBytes is the memory of the records of a page from which on the rest is left for
	// the next read. The platform sends up to 8 MB of records at once.
	maxRecordsBytes = 9 << 20
	// recordMemory is the memory of a record besides its data in bytes, with that of the list
	// that doubles while it grows.
	recordMemory = 128
	// pendingFactor is the memory of a record that is being read over its bytes so far: the
	// decoder's buffer, which doubles, and the decoded data.
	pendingFactor = 4
)

// readPage reads a page. If there is no memory for all of its records, the page has only the
// first ones, so that the reader follows the stream with more reads.
func readPage(r io.Reader, pool *bounder.Pool) (Page, error) {
	held, err := pool.Reserve(0)
	if err != nil {
		return Page{}, trace.Wrap(err)
	}
	defer held.Release()
	in := &pageReader{r: r, held: held}
	in.dec = json.NewDecoder(in)
	err = in.readObject()
	if in.nextKnown && len(in.page.Records) > 0 && (errors.Is(err, bounder.ErrExhausted) || errors.Is(err, errPageFull)) {
		return in.page, nil
	}
	if err != nil {
		return Page{}, trace.ConnectionProblem(err, "reading the platform's page")
	}
	return in.page, nil
}

// errPageFull ends a page with more than maxRecordsBytes.
var errPageFull = errors.New("the page is full")

// pageReader decodes a page as it is read.
type pageReader struct {
	r    io.Reader
	held *bounder.Reservation
	dec  *json.Decoder
	page Page
	// nextKnown is set once page.Next has been read.
	nextKnown bool
	// read is the number of bytes read, decoded the number of those up to the end of the newest
	// record, and kept the memory of the records; all are in bytes.
	read, decoded, kept int64
}

// Read reads from the body, and reserves memory for what is read.
func (p *pageReader) Read(data []byte) (int, error) {
	n, err := p.r.Read(data)
	p.read += int64(n)
	if err := p.held.Resize(p.kept + pendingFactor*(p.read-p.decoded)); err != nil {
		return 0, err
	}
	return n, err
}

// readObject reads the page's object and the end of the body.
func (p *pageReader) readObject() error {
	if err := p.expect(json.Delim('{')); err != nil {
		return err
	}
	for p.dec.More() {
		name, err := p.dec.Token()
		if err != nil {
			return err
		}
		if err := p.readField(name.(string)); err != nil {
			return err
		}
	}
	if err := p.expect(json.Delim('}')); err != nil {
		return err
	}
	if _, err := p.dec.Token(); !errors.Is(err, io.EOF) {
		return trace.BadParameter("the page is followed by other data: %v", err)
	}
	return nil
}

// readField reads the value of a field.
func (p *pageReader) readField(name string) error {
	switch strings.ToLower(name) {
	case "first":
		return p.dec.Decode(&p.page.First)
	case "first_at":
		return p.dec.Decode(&p.page.FirstAt)
	case "next":
		p.nextKnown = true
		return p.dec.Decode(&p.page.Next)
	case "records":
		return p.readRecords()
	default:
		return p.dec.Decode(new(json.RawMessage))
	}
}

// readRecords reads a list of records, or null.
func (p *pageReader) readRecords() error {
	start, err := p.dec.Token()
	if start == nil || err != nil {
		return err
	}
	if start != json.Delim('[') {
		return trace.BadParameter("got records that begin with %v, want a list", start)
	}
	for p.dec.More() {
		if p.kept > maxRecordsBytes {
			return errPageFull
		}
		var record Record
		if err := p.dec.Decode(&record); err != nil {
			return err
		}
		p.decoded = p.dec.InputOffset()
		p.kept += int64(cap(record.Data)) + recordMemory
		p.page.Records = append(p.page.Records, record)
	}
	return p.expect(json.Delim(']'))
}

// expect reads a delimiter.
func (p *pageReader) expect(want json.Delim) error {
	got, err := p.dec.Token()
	if err != nil {
		return err
	}
	if got != want {
		return trace.BadParameter("got %v, want %v", got, want)
	}
	return nil
}
