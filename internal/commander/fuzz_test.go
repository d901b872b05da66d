package commander

import (
	"strings"
	"testing"
)

// FuzzReadStream checks that a stream without its end event is never accepted as
// complete.
func FuzzReadStream(f *testing.F) {
	f.Add(token(0, "a") + "\n\ndata: [DONE]\n")
	f.Add("event: error\ndata: {}\n")
	f.Add("data: null\n\ndata:[DONE]")
	f.Fuzz(func(t *testing.T, text string) {
		err := readStream(strings.NewReader(text), func(string) {})
		if err == nil && !strings.Contains(text, endOfStream) {
			t.Errorf("got no error from %q, which has no end event", text)
		}
	})
}
