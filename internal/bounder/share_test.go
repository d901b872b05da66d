package bounder

import (
	"fmt"
	"strings"
	"testing"
)

// holdSlow reserves memory for a slow sender of a body of 1 MB, as far as there is any, and returns
// whether there was enough.
func holdSlow(t *testing.T, pool *Pool) (held *Reservation, full bool) {
	held, err := pool.Reserve(minBuffer)
	if err != nil {
		t.Fatal(err)
	}
	size := int64(minBuffer)
	for size < 1<<20 && held.Resize(2*size) == nil {
		size *= 2
	}
	return held, size == 1<<20
}

// checkUsualBody checks that a pool has memory for a body of 64 KB.
func checkUsualBody(t *testing.T, pool *Pool, full int) {
	body, held, err := pool.ReadAll(strings.NewReader(strings.Repeat("x", 64<<10)), 64<<10)
	defer held.Release()
	if err != nil || len(body) != 64<<10 {
		t.Errorf("got error %v with %d of %d KB in use (%d slow bodies hold 1 MB), want 64 KB read", err, pool.Used()>>10, pool.size>>10, full)
	}
}

// forSlowSenders runs a test for the sizes of nodes and numbers of slow senders.
func forSlowSenders(t *testing.T, slow []int, test func(t *testing.T, pool *Pool, slow int)) {
	for _, memory := range []int64{136 << 20, 184 << 20, 284 << 20, 536 << 20} {
		for _, n := range slow {
			t.Run(fmt.Sprintf("%d MB, %d slow", memory>>20, n), func(t *testing.T) {
				test(t, NewBudget(memory, nil).Requests, n)
			})
		}
	}
}

// checkBesideSlow checks the memory for a usual body beside slow senders that keep what they got when they
// got no more.
func checkBesideSlow(t *testing.T, pool *Pool, slow int) {
	full := 0
	for range slow {
		if _, all := holdSlow(t, pool); all {
			full++
		}
	}
	checkUsualBody(t, pool, full)
}

// Guards against a few slow senders of large bodies that leave no memory for the usual bodies of
// 64 KB: a node with 184 MB must still read them beside 40 bodies of 1 MB that don't end.
func TestUsualBodiesBesideSlowLargeOnes(t *testing.T) {
	forSlowSenders(t, []int{10, 20, 40}, checkBesideSlow)
}

// Guards against the same with more slow senders, which stop at the size for which there is memory.
func TestUsualBodiesBesideManySlowOnes(t *testing.T) {
	forSlowSenders(t, []int{100, 300}, checkBesideSlow)
}

// Guards against any number of slow senders of 1 MB that leave no memory for the usual bodies. Those that get
// no more are refused.
func TestUsualBodiesBesideRefusedOnes(t *testing.T) {
	forSlowSenders(t, []int{40, 300, 4000}, func(t *testing.T, pool *Pool, slow int) {
		full := 0
		for range slow {
			held, all := holdSlow(t, pool)
			if !all {
				held.Release()
				continue
			}
			full++
		}
		checkUsualBody(t, pool, full)
	})
}

// Guards against text with many commas that counts as a long list.
func TestDecodedSizeOfText(t *testing.T) {
	row := "0.1,12,7,"
	document := `{"messages":[{"role":"user","content":"` + strings.Repeat(row, 100_000) + `"}]}`
	if got, want := DecodedSize([]byte(document), 64), int64(2*len(document)); got > want {
		t.Errorf("a text of %d bytes: got %d, want at most %d", len(document), got, want)
	}
}
