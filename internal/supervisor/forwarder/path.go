package forwarder

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"banyanquay/internal/driver"
	"banyanquay/internal/mapper"
	"banyanquay/internal/refuser"
	"banyanquay/internal/registrar"
	"banyanquay/internal/supervisor/forwarder/pather"
)

// Costs of a path, in milliseconds a token. A whole path of engines takes some
// fifty.
const (
	// hopCost is for each engine: the message to it, and the wait for the pass that
	// it is in, in which it reads prompts beside the steps.
	hopCost = 3
	// awayCost is for a path in another data centre: the events cross once. Where
	// choices are spread, awayBlind more keeps them in the own one.
	awayCost  = 2
	awayBlind = 80
	// crossingCost is for each crossing within a path: the activations of every
	// token cross over a pipe that all paths share, so it is taken only where
	// no data centre has a whole path.
	crossingCost = 30
	// fullCost is how many times dearer an engine is whose room is taken, and
	// fullPower how late that begins to count.
	fullCost  = 6
	fullPower = 4
	// overCost is how many times dearer one is that has no room for the request.
	overCost = 40
	// keptCost is for an engine that already has a stream's memory when the stream's
	// path changes: others read all its tokens first, while its caller waits.
	keptCost = 0.005
	// detourHop is the cost of a stage of a detour, less than usual, and detourBase
	// the part of its cost that doesn't vary: they spread the streams that all leave
	// the same engine over those that can take its layers, or some of them.
	detourHop  = 0.3
	detourBase = 0.2
	// blind is how strongly choices are spread where the work of other nodes is
	// not known, against the time of a step on a usual engine.
	blind = 3
	// pooledUnseen is how much of the near nodes' work counts as not known where it
	// is pooled: many choose between two sums.
	pooledUnseen = 0.35
	// readTokens is over how many tokens the wait is spread while an engine reads what
	// this node has just given it. The wait delays one event, a slow path all of them.
	readTokens = 10
	// noise spreads equal choices, and burst those of streams that all move at
	// the same moment over the data centres.
	noise = 0.05
	burst = 0.4
)

// choice is what a path is chosen by.
type choice struct {
	members *members
	version string
	// need is the tokens that the request will hold.
	need int
	// exclude holds the IDs of engines that are not used.
	exclude map[string]bool
	// careful leaves out engines in doubt.
	careful bool
	// head and kept are set for a stream in progress: its first part, and the
	// parts whose memory is kept.
	head *pather.Part
	kept []pather.Part
	// moving is set for a stream that begins anew, beside many others.
	moving bool
}

// find returns the best path for a choice.
func (f *Forwarder) find(ch choice) ([]pather.Part, bool) {
	engine := ch.members.service.Engine
	unseen, far := f.unseen()
	req := pather.Request{
		Layers: engine.Layers, Centre: f.cfg.Centre, RemoteCost: awayCost + awayBlind*far,
		CrossingCost: crossingCost + awayBlind*far, Head: ch.head,
	}
	now := f.cfg.Now()
	centres := make(map[string]float64)
	spread := blind * unseen * ch.members.usual
	alike := f.alike()
	for _, h := range ch.members.holders {
		if h.entry.Version != ch.version || ch.exclude[h.entry.ID] {
			continue
		}
		rec := f.assessor.Record(h.entry.ID)
		if ch.careful && now.Before(rec.SuspectUntil) {
			continue
		}
		full := float64(f.used(h.entry.ID, rec.Tokens)+ch.need) / float64(max(h.room, 1))
		factor := 1 + fullCost*math.Pow(full, fullPower) + failureCost*rec.FailureRate + noise*rand.Float64()
		if full > 1 {
			factor += overCost
		}
		if ch.moving {
			if centres[h.entry.Centre] == 0 {
				centres[h.entry.Centre] = 1 + burst*rand.Float64()
			}
			factor *= centres[h.entry.Centre]
		}
		engine := pather.Engine{
			ID: h.entry.ID, Address: h.entry.Address, Centre: h.entry.Centre,
			First: h.entry.First, Last: h.entry.Last, StageCost: hopCost * factor,
			LayerCost: (h.layer + spread*rand.ExpFloat64()) * factor * rec.Slowness(now),
		}
		backlog := rec.Backlog(now) / readTokens
		if rec.Slowness(now) <= slowPace {
			backlog *= alike
		}
		if kept, ok := ch.keeps(h.entry); ok {
			req.Engines = append(req.Engines, kept.as(engine))
		}
		if ch.head != nil {
			noise := detourBase + rand.ExpFloat64()
			engine.StageCost, engine.LayerCost = detourHop*factor*noise, engine.LayerCost*noise
		}
		engine.StageCost += backlog
		req.Engines = append(req.Engines, engine)
	}
	return f.cfg.Find(req)
}

// keeps returns the part of a stream's path that an engine has, if it still holds
// its layers.
func (ch choice) keeps(e registrar.Entry) (keptPart, bool) {
	for _, p := range ch.kept {
		if p.Address == e.Address && p.First >= e.First && p.Last <= e.Last {
			return keptPart(p), true
		}
	}
	return keptPart{}, false
}

// keptPart is a part of a path whose engine has the stream's memory of just its
// layers.
type keptPart pather.Part

// as returns the engine as a holder of nothing but the part.
func (k keptPart) as(e pather.Engine) pather.Engine {
	e.First, e.Last, e.Indivisible = k.First, k.Last, true
	e.StageCost, e.LayerCost = keptCost, 0
	return e
}

// unseen is the share of the near nodes whose work is not known, and far of those in
// other data centres: all of it at a node that has just started, often together with
// the others. What is pooled is known late, so that it counts as known in part.
func (f *Forwarder) unseen() (near, far float64) {
	if f.cfg.Starting() {
		return 1, 1
	}
	others := f.cfg.Near() - 1
	if others > 0 {
		_, told := f.cfg.Others("")
		near = float64(max(others-told, 0)) / float64(others)
	}
	if f.cfg.Few() {
		return near, near
	}
	return max(near, pooledUnseen), 1
}

// used is how many tokens all nodes have in progress at an engine. Nodes that
// have not told of theirs count as this one, if they are near, and so does what came
// since they told.
func (f *Forwarder) used(id string, own int) int {
	others, told := f.cfg.Others(id)
	used := own + others + own*max(f.cfg.Near()-1-told, 0)
	if !f.cfg.Few() {
		used += max(own-f.cfg.Reported(id), 0) * told
	}
	return used
}

// alike is how many near nodes are taken to do as this one, itself included: those
// whose work is not known.
func (f *Forwarder) alike() float64 {
	_, told := f.cfg.Others("")
	return float64(1 + max(f.cfg.Near()-1-told, 0))
}

// reads notes that engines read a stream's prompt, and what it has written, since
// they are new to its path.
func (f *Forwarder) reads(service string, parts []pather.Part, prompt, events int) {
	members, ok := f.members(service)
	if !ok || !members.layered() {
		return
	}
	tokens := prompt + events*members.service.Engine.Stride
	for _, p := range parts {
		if h, ok := members.holder(p.ID); ok {
			usual := members.service.Engine.PrefillTime(h.kind, p.Last-p.First, tokens)
			f.assessor.AddPrefill(p.ID, time.Duration(float64(usual)*f.readFactor(p.ID)))
		}
	}
}

// readFactor is how many times longer an engine reads than this node's prompt takes on a
// usual one. A slow engine is short of time for all prompts, so that each of this node's
// stands for those of the others, too, as their work there is to its own.
func (f *Forwarder) readFactor(id string) float64 {
	rec := f.assessor.Record(id)
	slowness := rec.Slowness(f.cfg.Now())
	if slowness <= slowPace || rec.Tokens <= 0 {
		return slowness
	}
	nodes := float64(f.used(id, rec.Tokens)) / float64(rec.Tokens)
	return slowness * min(nodes, float64(max(f.cfg.Nodes(), 1)))
}

// path returns the path of a request's next attempt. Engines in doubt are used
// only where no others hold the layers.
func (f *Forwarder) path(c *call, version string) ([]pather.Part, error) {
	// Endpoints may have left since the request came.
	members, ok := f.members(c.service)
	if ok && !members.layered() {
		return f.whole(c)
	}
	if !ok || len(members.versions) == 0 {
		return nil, refuser.New(refuser.NoPipeline, "no engine of %s holds layers", c.service).WithWait(comeBack)
	}
	if version == "" {
		version = members.versions[0]
	}
	ch := choice{members: members, version: version, need: c.need, exclude: c.tried, careful: true, moving: c.answered}
	if path, ok := f.find(ch); ok {
		return path, nil
	}
	ch.careful = false
	if path, ok := f.find(ch); ok {
		return path, nil
	}
	return nil, refuser.New(refuser.NoPipeline,
		"no cover of the layers of %s by %d engines", c.service, len(members.holders)).WithWait(comeBack)
}

// whole returns the path of one engine of a service whose engines hold whole
// models.
func (f *Forwarder) whole(c *call) ([]pather.Part, error) {
	e, ok := f.choose(c)
	if !ok {
		return nil, refuser.New(refuser.NoEndpoint, "no engine of %s is left", c.service).WithWait(comeBack)
	}
	return []pather.Part{{ID: e.ID, Address: e.Address, Centre: e.Centre}}, nil
}

// wire returns a path as an endpoint gets it; an engine with a whole model gets
// none.
func wire(path []pather.Part) []driver.Part {
	if len(path) == 1 && path[0].Last == 0 {
		return nil
	}
	parts := make([]driver.Part, 0, len(path))
	for _, p := range path {
		parts = append(parts, driver.Part{Address: p.Address, First: p.First, Last: p.Last})
	}
	return parts
}

// ids lists the engines of a path.
func ids(path []pather.Part) []string {
	all := make([]string, 0, len(path))
	for _, p := range path {
		all = append(all, p.ID)
	}
	return all
}

// addresses lists the addresses of a path.
func addresses(path []pather.Part) []string {
	all := make([]string, 0, len(path))
	for _, p := range path {
		all = append(all, p.Address)
	}
	return all
}

// usual returns the median time of a layer's step.
func usual(holders []holder) float64 {
	if len(holders) == 0 {
		return 0
	}
	all := make([]float64, 0, len(holders))
	for _, h := range holders {
		all = append(all, h.layer)
	}
	slices.Sort(all)
	return all[len(all)/2]
}

// holder is an engine that holds layers.
type holder struct {
	entry registrar.Entry
	// room is how many tokens fit beside the layers.
	room int
	// layer is the time of a token's step of one layer, in milliseconds.
	layer float64
	kind  mapper.Accelerator
}
