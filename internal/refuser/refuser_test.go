package refuser

import (
	"encoding/json"
	"net/http/httptest"
	"testing"
	"time"
)

func TestTableHoldsEveryCodeOnce(t *testing.T) {
	seen := make(map[Code]bool)
	for _, row := range Table() {
		if seen[row.Code] {
			t.Errorf("code %d is listed twice", row.Code)
		}
		seen[row.Code] = true
		if row.Status < 400 || row.Title == "" || row.Advice == "" {
			t.Errorf("row of code %d is incomplete: %+v", row.Code, row)
		}
	}
}

func TestWriteSendsTheProblem(t *testing.T) {
	w := httptest.NewRecorder()
	New(QueueTooLong, "12 s of work").WithWait(1500 * time.Millisecond).WithRan(Maybe).Write(w)
	if got, want := w.Code, 429; got != want {
		t.Errorf("got status %d, want %d", got, want)
	}
	if got, want := w.Header().Get("Retry-After"), "2"; got != want {
		t.Errorf("got Retry-After %q, want %q", got, want)
	}
	var got Problem
	if err := json.Unmarshal(w.Body.Bytes(), &got); err != nil {
		t.Fatal(err)
	}
	if got.Code != int(QueueTooLong) || got.Ran != "maybe" || got.RetryAfter != 2 {
		t.Errorf("got %+v", got)
	}
}
