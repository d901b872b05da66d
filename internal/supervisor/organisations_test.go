package supervisor

import (
	"net/http"
	"testing"

	"banyanquay/internal/describer"
	"banyanquay/internal/standin/booker"
)

const otherKey = "club-key"

// publishOther publishes a second organisation with the same route and waits until
// it is in force at every node.
func (f *fleet) publishOther(checks string) {
	f.t.Helper()
	f.putOrganisation("club", otherKey, checks)
	for _, node := range f.nodes {
		f.await("the other organisation at "+node, func() bool {
			return f.orderAs(otherKey, node, "other-warm-"+node, "{}").status == http.StatusOK
		})
	}
}

// orderAs places an order with an organisation's API key.
func (f *fleet) orderAs(apiKey, node, key, body string) reply {
	return f.send(node, http.MethodPost, "/v1/services/orders/orders", body,
		http.Header{"Authorization": {"Bearer " + apiKey}, "Idempotency-Key": {key}, "Idempotency-Attempt": {"1"}})
}

// stateAs queries the state of an idempotency key.
func (f *fleet) stateAs(apiKey, node, key string) reply {
	return f.send(node, http.MethodGet, "/v1/keys/"+key, "", http.Header{"Authorization": {"Bearer " + apiKey}})
}

func TestKeysOfOrganisationsAreIsolated(t *testing.T) {
	testKeyIsolation(t, describer.ChecksNothing)
}

func TestKeysOfOrganisationsAreIsolatedAtServiceThatChecksThem(t *testing.T) {
	testKeyIsolation(t, describer.ChecksKey)
}

// testKeyIsolation places one order whose outcome is known and one whose outcome is
// unknown. Another organisation that uses the same idempotency keys must learn
// nothing of either, and its own orders under these keys must be executed.
func testKeyIsolation(t *testing.T, checks string) {
	t.Helper()
	f := newFleet(t, 2, checks)
	f.publishOther(checks)
	unused := f.stateAs(otherKey, f.nodes[0], "unused")
	for _, tc := range []struct {
		key  string
		lost bool
		want int
		// more is appended to the first organisation's body in the other one's
		// order.
		more string
	}{
		{"same-finished", false, http.StatusOK, ""},
		{"same-lost", true, http.StatusBadGateway, " "},
	} {
		f.service.Control().Update(func(s booker.Switches) booker.Switches { s.ReplyLost = tc.lost; return s })
		order := `{"order":"` + tc.key + `"}`
		if got := f.orderAs(callerKey, f.nodes[0], tc.key, order); got.status != tc.want {
			t.Fatalf("%s: got %+v, want %d", tc.key, got, tc.want)
		}
		f.service.Control().Update(func(booker.Switches) booker.Switches { return booker.Switches{} })
		for _, node := range f.nodes {
			f.await("the key's state at "+node, func() bool { return f.stateAs(callerKey, node, tc.key).status == http.StatusOK })
			if got := f.stateAs(otherKey, node, tc.key); got.body != unused.body {
				t.Errorf("%s: got state %s, want that of a key never used, %s", tc.key, got.body, unused.body)
			}
		}
		// The same request must not be answered from the other organisation's
		// record, and a different one must not be refused because of a reused key.
		got := f.orderAs(otherKey, f.nodes[1], tc.key, order+tc.more)
		if got.status != http.StatusOK || f.executions(tc.key) != 2 {
			t.Errorf("%s: got %+v and %d executions, want an answer of its own and 2", tc.key, got, f.executions(tc.key))
		}
	}
}
