package forwarder

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"banyanquay/internal/driver"
	"banyanquay/internal/mapper"
	"banyanquay/internal/refuser"
	"banyanquay/internal/registrar"
	"banyanquay/internal/supervisor/forwarder/assessor"
	"banyanquay/internal/supervisor/forwarder/pacer"
	"banyanquay/internal/supervisor/forwarder/pathfinder"
)

// Costs of a path, in milliseconds per token. A whole path of engines takes about
// fifty.
const (
	// hopCost is the cost of each engine: the message to it, and the wait for its
	// current pass, in which it also prefills prompts.
	hopCost = 3
	// remoteCost is the cost of a path in another data centre: each event is sent
	// between data centres once. remoteUnknownCost is added to it and to each crossing
	// where loads are unknown: choices are spread then, and this keeps them in this
	// node's data centre.
	remoteCost        = 2
	remoteUnknownCost = 80
	// crossingCost is the cost of each crossing, which is a hop between two data
	// centres within a path. The activations of every token are then sent over a link
	// that all paths share, so a path crosses only where no data centre has a whole
	// path.
	crossingCost = 30
	// loadCost is the relative cost added for an engine at full capacity. At partial
	// load it is multiplied by the load to the power of loadExponent.
	loadCost     = 6
	loadExponent = 4
	// overloadCost is the relative cost added for an engine without capacity for the
	// request, multiplied by the load to the power of loadExponent: where all engines lack
	// capacity, the fastest ones would otherwise get all requests.
	overloadCost = 40
	// keptCost is the cost of an engine that already has a stream's KV cache when the
	// stream's path changes. Other engines first prefill all its tokens while its
	// caller waits.
	keptCost = 0.005
	// alternativeHopCost is the cost of a stage of an alternative path, less than
	// usual, and alternativeBaseCost the part of its cost that isn't random. They
	// spread the streams that all leave the same engine over those that can take its
	// layers, or some of them.
	alternativeHopCost  = 0.3
	alternativeBaseCost = 0.2
	// unknownLoadSpread is how strongly choices are spread where the load of other
	// nodes is unknown, relative to the median step time of a layer.
	unknownLoadSpread = 3
	// pooledUnknownShare is the share of the near nodes' load that counts as unknown
	// where loads are pooled: the sum of the loads is updated only now and then, and
	// many nodes choose paths between two updates, unaware of each other's choices.
	pooledUnknownShare = 0.35
	// prefillSpreadTokens is the number of tokens over which the wait is spread for an
	// engine that still prefills earlier prompts of this node. The wait delays one
	// event, whereas a slow path delays all events.
	prefillSpreadTokens = 4
	// costNoise spreads equal choices, and restartNoise spreads streams that all
	// restart at the same moment over the data centres.
	costNoise    = 0.05
	restartNoise = 0.4
)

// pathCriteria are the criteria by which a path is chosen.
type pathCriteria struct {
	members *members
	version string
	// neededTokens is the number of tokens that the request will hold.
	neededTokens int
	// centre is the only data centre whose engines are used; empty if any are.
	centre string
	// exclude holds the IDs of engines that are not used.
	exclude map[string]bool
	// needsRoom leaves out engines that lack room for the request.
	needsRoom bool
	// avoidSuspects leaves suspects out.
	avoidSuspects bool
	// head and kept are set for a stream in progress: its first stage, and the stages
	// whose KV cache is kept.
	head *pathfinder.Stage
	kept []pathfinder.Stage
	// restarting is set for a stream that restarts elsewhere, along with many others.
	restarting bool
	// long is set for a long prompt that has not been sent yet.
	long *pacer.Request
}

// findPath returns the path of the lowest cost, and whether there is one.
func (f *Forwarder) findPath(criteria pathCriteria) ([]pathfinder.Stage, bool) {
	engine := criteria.members.service.Engine
	unknownNear, unknownFar := f.unknownLoad()
	req := pathfinder.Request{
		Layers: engine.Layers, Centre: f.cfg.Centre, RemoteCost: remoteCost + remoteUnknownCost*unknownFar,
		CrossingCost: crossingCost + remoteUnknownCost*unknownFar, Head: criteria.head,
	}
	if criteria.long != nil {
		req.RemoteCost *= longBacklogWeight
		req.CrossingCost += longCrossingCost
	}
	now := f.cfg.Now()
	usage := sync.OnceValue(func() usage { return f.usage(criteria.members) })
	centres := make(map[string]float64)
	spread := unknownLoadSpread * unknownNear * criteria.members.medianLayerTime
	similar := f.similarNodes()
	assumed, visiting := f.assumedRemoteLoad(criteria.members), 1+f.visitingShare(criteria.members)
	for _, h := range criteria.members.holders {
		if criteria.excludes(h.entry) || f.limitExcludes(criteria, h) {
			continue
		}
		rec := f.assessor.Record(h.entry.ID)
		load := float64(f.usedTokens(h.entry.ID, rec.Tokens)+criteria.neededTokens) / float64(max(h.tokenCapacity, 1))
		load = max(load, f.slotLoad(criteria, h))
		if h.entry.Centre != f.cfg.Centre {
			load += assumed
		} else {
			load *= visiting
		}
		if criteria.rulesOut(now, h, rec, func() float64 { return usage().expectedLoad(criteria, h, rec) }) {
			continue
		}
		factor := 1 + loadCost*math.Pow(load, loadExponent) + failureCost*rec.FailureRate + costNoise*rand.Float64()
		if load > 1 {
			factor += overloadCost * math.Pow(load, loadExponent)
		}
		if criteria.restarting {
			if centres[h.entry.Centre] == 0 {
				centres[h.entry.Centre] = 1 + restartNoise*rand.Float64()
			}
			factor *= centres[h.entry.Centre]
		}
		engine := pathfinder.Engine{
			ID: h.entry.ID, Address: h.entry.Address, Centre: h.entry.Centre,
			First: h.entry.First, Last: h.entry.Last, StageCost: hopCost * factor,
			LayerCost: (h.layerTime + spread*rand.ExpFloat64()) * factor * rec.CurrentPace(now),
		}
		backlog := f.backlogCost(criteria, h, rec, pacedPrompt{similar: similar, now: now})
		if kept, ok := criteria.reusableStage(h.entry); ok {
			req.Engines = append(req.Engines, kept.asEngine(engine))
		}
		if criteria.head != nil {
			noise := alternativeBaseCost + rand.ExpFloat64()
			engine.StageCost, engine.LayerCost = alternativeHopCost*factor*noise, engine.LayerCost*noise
		}
		engine.StageCost += backlog
		req.Engines = append(req.Engines, engine)
	}
	req.Engines = append(req.Engines, f.leavingStages(criteria)...)
	return f.cfg.Find(req)
}

// excludes reports whether a path must not use an engine whatever its state.
func (criteria pathCriteria) excludes(e registrar.Entry) bool {
	return e.Version != criteria.version || criteria.exclude[e.ID] || (criteria.centre != "" && criteria.centre != e.Centre)
}

// rulesOut reports whether a path must not use an engine since it is suspect or lacks room.
// The memory of an engine without any by its configuration is not known.
func (criteria pathCriteria) rulesOut(now time.Time, h holder, rec assessor.Record, load func() float64) bool {
	if criteria.avoidSuspects && now.Before(rec.SuspectUntil) {
		return true
	}
	return criteria.needsRoom && (now.Before(rec.FullUntil) || (h.tokenCapacity > 0 && load() > 1))
}

// leavingStages returns the kept stages of a stream's path whose engines are leaving.
// They take no new streams, and serve those that they have to their end.
func (f *Forwarder) leavingStages(criteria pathCriteria) []pathfinder.Engine {
	var engines []pathfinder.Engine
	table := f.cfg.Endpoints()
	for _, p := range criteria.kept {
		e, ok := table.Get(p.ID)
		if ok && e.Leaving && p.First >= e.First && p.Last <= e.Last && !criteria.exclude[p.ID] {
			engines = append(engines, keptStage(p).asEngine(pathfinder.Engine{ID: p.ID, Address: p.Address, Centre: p.Centre}))
		}
	}
	return engines
}

// reusableStage returns the stage of a stream's path that an engine has, if it still
// holds those layers.
func (criteria pathCriteria) reusableStage(e registrar.Entry) (keptStage, bool) {
	for _, p := range criteria.kept {
		if p.Address == e.Address && p.First >= e.First && p.Last <= e.Last {
			return keptStage(p), true
		}
	}
	return keptStage{}, false
}

// keptStage is a stage of a path whose engine has the stream's KV cache of just its
// layers.
type keptStage pathfinder.Stage

// asEngine returns the engine as a holder of nothing but the stage.
func (k keptStage) asEngine(e pathfinder.Engine) pathfinder.Engine {
	e.First, e.Last, e.Indivisible = k.First, k.Last, true
	e.StageCost, e.LayerCost = keptCost, 0
	return e
}

// recordPrefill records that engines prefill a stream's prompt and the tokens
// generated so far, since they are new to its path.
func (f *Forwarder) recordPrefill(service string, parts []pathfinder.Stage, prompt, events int) {
	members, ok := f.members(service)
	if !ok || !members.layered() {
		return
	}
	tokens := prompt + events*members.service.Engine.TokensPerEvent
	for _, p := range parts {
		if h, ok := members.holder(p.ID); ok {
			prefillTime := members.service.Engine.PrefillTime(h.accelerator, p.Last-p.First, tokens)
			f.assessor.AddPrefill(p.ID, time.Duration(float64(prefillTime)*f.prefillFactor(p.ID)))
		}
	}
}

// prefillFactor is how many times longer an engine prefills than this node's prompt
// takes on a usual one. A slow engine lacks the time to prefill all prompts, so each
// prompt of this node also stands for those of the other nodes, in proportion to
// their load on the engine.
func (f *Forwarder) prefillFactor(id string) float64 {
	rec := f.assessor.Record(id)
	pace := rec.CurrentPace(f.cfg.Now())
	if pace <= slowThreshold || rec.Tokens <= 0 {
		return pace
	}
	nodes := float64(f.usedTokens(id, rec.Tokens)) / float64(rec.Tokens)
	return pace * min(nodes, float64(max(f.cfg.Nodes(), 1)))
}

// path returns the path of a request's next attempt. Suspects are used only where
// no other engines hold the layers.
func (f *Forwarder) path(c *call, version string) ([]pathfinder.Stage, error) {
	// Endpoints may have left since the request arrived.
	members, ok := f.members(c.service)
	if ok && !members.layered() {
		return f.wholeModelPath(c)
	}
	if !ok || len(members.versions) == 0 {
		return nil, refuser.New(refuser.NoPipeline, "no engine of service %s holds layers", c.service).WithWait(retryDelay)
	}
	if version == "" {
		version = members.versions[0]
	}
	criteria := pathCriteria{members: members, version: version, neededTokens: c.neededTokens, exclude: c.excluded(), avoidSuspects: true, needsRoom: f.needsRoom(c), restarting: c.answered, long: f.longPrompt(c)}
	if criteria.centre = f.wholePathCentre(c, members); criteria.centre != "" {
		if path, ok := f.findPath(criteria); ok {
			return path, nil
		}
		criteria.centre = ""
	}
	if path, ok := f.findPath(criteria); ok {
		return path, nil
	}
	criteria.avoidSuspects = false
	if path, ok := f.findPath(criteria); ok {
		return path, nil
	}
	if criteria.needsRoom {
		criteria.needsRoom = false
		if c.full {
			criteria.exclude = nil
		}
		if _, ok := f.findPath(criteria); ok {
			return nil, f.noPathRoom(c)
		}
	}
	return nil, refuser.New(refuser.NoPipeline,
		"no path over all layers of service %s with %d engines", c.service, len(members.holders)).WithWait(retryDelay)
}

// wholeModelPath returns a path of one engine for a service whose engines hold
// whole models.
func (f *Forwarder) wholeModelPath(c *call) ([]pathfinder.Stage, error) {
	e, ok := f.chooseEndpoint(c)
	if !ok {
		return nil, refuser.New(refuser.NoEndpoint, "no engine of service %s is left to try", c.service).WithWait(retryDelay)
	}
	return []pathfinder.Stage{{ID: e.ID, Address: e.Address, Centre: e.Centre}}, nil
}

// toDriverStages converts a path to the form sent to an endpoint. An engine with a
// whole model gets none.
func toDriverStages(path []pathfinder.Stage) []driver.PathStage {
	if len(path) == 1 && path[0].Last == 0 {
		return nil
	}
	parts := make([]driver.PathStage, 0, len(path))
	for _, p := range path {
		parts = append(parts, driver.PathStage{Address: p.Address, First: p.First, Last: p.Last})
	}
	return parts
}

// ids returns the IDs of a path's engines.
func ids(path []pathfinder.Stage) []string {
	all := make([]string, 0, len(path))
	for _, p := range path {
		all = append(all, p.ID)
	}
	return all
}

// addresses returns the addresses of a path's engines.
func addresses(path []pathfinder.Stage) []string {
	all := make([]string, 0, len(path))
	for _, p := range path {
		all = append(all, p.Address)
	}
	return all
}

// medianLayerTime returns the median of the holders' step time of a layer.
func medianLayerTime(holders []holder) float64 {
	if len(holders) == 0 {
		return 0
	}
	all := make([]float64, 0, len(holders))
	for _, h := range holders {
		all = append(all, h.layerTime)
	}
	slices.Sort(all)
	return all[len(all)/2]
}

// holder is an engine that holds layers.
type holder struct {
	entry registrar.Entry
	// tokenCapacity is how many tokens fit in memory in addition to the layers.
	tokenCapacity int
	// layerTime is the time of a token's step of one layer, in milliseconds.
	layerTime   float64
	accelerator mapper.Accelerator
}
