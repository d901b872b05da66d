package emulator

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/gravitational/trace"

	"banyanquay/internal/driver"
)

// Body returns the body of a request that Decode understands. Sizes are in the body,
// as the emulator sees no headers.
func Body(prompt, answer int) []byte {
	return fmt.Appendf(nil, "%d,%d", prompt, answer)
}

// Decode returns the lengths of a generation's prompt and answer in tokens, and the
// number of the event after which it resumes.
func Decode(f driver.Forward) (prompt, answer, after int, err error) {
	in, out, _ := strings.Cut(string(f.Body), ",")
	if prompt, err = strconv.Atoi(in); err == nil {
		answer, err = strconv.Atoi(out)
	}
	if err == nil && f.After != "" {
		after, err = strconv.Atoi(f.After)
	}
	return prompt, answer, after, trace.Wrap(err, "decoding request %s", f.ID)
}
