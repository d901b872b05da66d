package watcher

import (
	"banyanquay/internal/driver"
	"banyanquay/internal/encoder"
	"banyanquay/internal/ranker"
	"banyanquay/internal/supervisor/replicator"
	"banyanquay/internal/supervisor/tracker"
)

// pollersPerEndpoint is how many nodes poll an endpoint.
const pollersPerEndpoint = 2

// description is the body of an endpoint's entry: what seldom changes.
type description struct {
	_           struct{} `cbor:",toarray"`
	Centre      string
	Role        string
	Accelerator string
	Holdings    []holding
	Services    []string
	Slots       int
	StepMillis  float64
	ChecksFence bool
}

// holding is a driver.Holding that is encoded without field names.
type holding struct {
	_        struct{} `cbor:",toarray"`
	Model    string
	Version  string
	First    int
	Last     int
	Layers   int
	Adapters []string
}

// location is the data centre and the role of an endpoint.
type location struct {
	centre string
	role   string
}

// encodeDescription returns the body of an endpoint's entry.
func encodeDescription(loc location, s driver.Status) []byte {
	d := description{
		Centre: loc.centre, Role: loc.role, Accelerator: s.Accelerator, Services: s.Services,
		Slots: s.Slots, StepMillis: s.StepMillis, ChecksFence: s.ChecksFence,
	}
	for _, h := range s.Holdings {
		d.Holdings = append(d.Holdings, holding{
			Model: h.Model, Version: h.Version,
			First: h.First, Last: h.Last, Layers: h.Layers, Adapters: h.Adapters,
		})
	}
	body, err := encoder.CBOR(d)
	if err != nil {
		panic(err) // the types always encode
	}
	return body
}

// decodeEndpoint returns the endpoint that an entry describes, without its load.
func decodeEndpoint(e replicator.Entry) (driver.Endpoint, error) {
	d, err := encoder.FromCBOR[description](e.Body)
	if err != nil {
		return driver.Endpoint{}, err
	}
	s := driver.Status{
		Incarnation: e.Incarnation, Accelerator: d.Accelerator, Leaving: e.Leaving,
		Services: d.Services, Slots: d.Slots, StepMillis: d.StepMillis, ChecksFence: d.ChecksFence,
	}
	for _, h := range d.Holdings {
		s.Holdings = append(s.Holdings, driver.Holding{
			Model: h.Model, Version: h.Version,
			First: h.First, Last: h.Last, Layers: h.Layers, Adapters: h.Adapters,
		})
	}
	return driver.Endpoint{
		Address: e.Address, Centre: d.Centre, Role: d.Role,
		Status: s, Down: e.Condition >= replicator.Down,
	}, nil
}

// eligibleNodes are the nodes that may poll, by data centre.
type eligibleNodes map[string][]string

// newEligibleNodes groups the nodes that are live and not suspected.
func newEligibleNodes(nodes []tracker.Node) eligibleNodes {
	byCentre := make(eligibleNodes)
	for _, n := range nodes {
		if n.Live() && !n.Suspect {
			byCentre[n.Centre] = append(byCentre[n.Centre], n.Address)
		}
	}
	return byCentre
}

// pollers returns the nodes that poll an endpoint, the first of which also distributes
// its load. They are of the endpoint's data centre if it has enough.
func (e eligibleNodes) pollers(address, centre string) []string {
	order := ranker.Of(address)
	chosen := order.Top(e[centre], pollersPerEndpoint)
	if len(chosen) == pollersPerEndpoint {
		return chosen
	}
	var remote []string
	for other, nodes := range e {
		if other != centre {
			remote = append(remote, nodes...)
		}
	}
	return append(chosen, order.Top(remote, pollersPerEndpoint-len(chosen))...)
}
