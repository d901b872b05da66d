package recorder

// Row describes an event; docs/EVENTS.md has one line for each.
type Row struct {
	Event Event
	// Meaning describes what happened.
	Meaning string
	// Advice tells the person on call what to do.
	Advice string
}

// Catalogue returns the rows of all events, each once, in order.
func Catalogue() []Row {
	return catalogue
}

var catalogue = []Row{
	{NodeStarted, "The process has started; it may not be ready yet.", "Nothing."},
	{NodeReady, "The node has read the configuration to its end.", "Nothing."},
	{NodeLeaving, "A planned stop has begun.", "Wait for event 103."},
	{NodeStopped, "All components have ended and the process exits.", "Nothing."},
	{StopDeadlineExceeded, "The stop deadline passed with requests in progress.", "Raise stop.deadline if requests take longer than that."},
	{StepFailed, "A component of the node failed, and the node stopped.", "Read the error; start the node again."},
	{LinesDropped, "Log lines were dropped to limit the volume of the log; the count is in the fields.", "Raise log.rate if the lines are needed."},
	{SettingsReloaded, "The settings file was reloaded and its values are in force.", "Nothing."},
	{SettingsRejected, "The settings file changed and has faults; the previous values stay in force.", "Correct every fault named."},
	{LatencySummary, "The latency histograms since the node's start, as in its metrics; a node logs the last one at its planned stop.", "Nothing."},
	{PanicCaught, "An unexpected error was caught in the part that the fields name; only the request, message or round that met it failed.", "Report it with the stack in the fields."},
	{RequestRefused, "A request was refused; its code is in the fields.", "Look the code up with banyanquay explain CODE."},
	{RequestEnded, "A request ended.", "Nothing."},
	{StageReplaced, "A pipeline continues with other endpoints.", "Nothing."},
	{StageFailed, "An endpoint failed a step of a pipeline.", "Check the endpoint if it appears in many of these events."},
	{OutcomeLost, "A non-idempotent request was sent and its outcome is not recorded.", "Check with the service; the caller was told that the request may have run."},
	{CacheNotImported, "The KV cache of a lost stage could not be imported elsewhere; the stage's inputs are run again.", "Check the engine's cache export if the engine appears in many of these events."},
	{AttemptFailed, "A request got no usable answer from an endpoint; event 200 or 201 of the same request tells how it ended.", "Check the endpoint if it appears in many of these events."},
	{PathChanged, "A stream continues on another path of engines.", "Nothing."},
	{StreamStalled, "A stream made no progress for longer than is usual on its path.", "Check the engines named as suspects if they appear in many of these events."},
	{RefusalNotEncoded, "The body of a refusal could not be encoded.", "Report the request."},
	{LevelChanged, "The load from which on this node refuses a class of a service's requests changed, since more urgent ones ask for more or less.", "Nothing; if low levels last, the service lacks capacity."},
	{LedgerUnreachable, "Appends to the ledger or reads from it fail.", "Check the platform's log; non-idempotent requests are refused until event 301."},
	{LedgerReachable, "The ledger is available again.", "Nothing."},
	{LedgerGap, "Records were dropped before this node read them.", "Old keys are refused until they expire; check why the node did not read them in time."},
	{LedgerBadRecord, "A ledger record can't be decoded and was skipped.", "Find the process that writes to the stream."},
	{ConfigApplied, "A configuration change is in force on this node.", "Nothing."},
	{ConfigRejected, "A change conflicted with another one or was malformed.", "Nothing; its operator was told."},
	{ConfigUnreachable, "The configuration stream can't be read.", "Check the platform's log; the last known configuration stays in force."},
	{ConfigReachable, "The configuration stream can be read again.", "Nothing."},
	{ConfigBadRecord, "A configuration record can't be decoded and was skipped.", "Find the process that writes to the stream."},
	{ConfigSnapshot, "This node appended a snapshot of the configuration to the log.", "Nothing."},
	{ConfigGap, "Configuration records were dropped before this node read them.", "Wait for a snapshot; without one, publish the organisations again."},
	{ConfigRestored, "An operator restored the configuration after its records were lost.", "Check the organisations with banyanquay orgs."},
	{PeerUp, "A node joined or rejoined the fleet.", "Nothing."},
	{PeerSuspect, "A node does not answer some of the other nodes.", "Nothing yet."},
	{PeerDown, "A node is gone from the fleet.", "Replace the VM if that was not planned."},
	{PeerLeaving, "A node has begun a planned stop.", "Nothing."},
	{EndpointUp, "An endpoint answers.", "Nothing."},
	{EndpointDown, "An endpoint does not answer.", "Check the endpoint's VM."},
	{EndpointLeaving, "An endpoint is leaving; it gets no new work.", "Nothing."},
	{ListUnreachable, "The platform's list of VMs can't be read.", "Check the platform; the last list read stays in use."},
	{LinkUp, "A link to another node is up.", "Nothing."},
	{LinkDown, "A link to another node broke; the node reconnects.", "Check the network if the link stays down."},
	{CentreUnreachable, "No node of a data centre answers; its nodes are kept as unreachable.", "Check the network between the data centres."},
	{CentreReachable, "A data centre that was unreachable answers again.", "Nothing."},
	{NodeResumed, "This node was paused for a while and reloads the fleet's state.", "Check the VM's host if it happens often."},
	{ListReachable, "The platform's list of VMs can be read again.", "Nothing."},
	{ListBadRecord, "A record of the nodes or of the lead can't be decoded and was skipped.", "Find the process that writes to the topic."},
	{StoreUnreachable, "Calls to the platform's store fail; the data last read stays in use as long as its age permits.", "Check the platform's store; event 516 reports that it answers again."},
	{StoreReachable, "The platform's store answers again.", "Nothing."},
	{HoldingsChanged, "An endpoint reports different layers than before.", "Nothing."},
	{EndpointSuspect, "An endpoint is suspect and gets no new work for a while, since work sent to it failed or stalled.", "Check the endpoint if it is often suspect."},
	{StateFromPeer, "The platform's store does not answer this node, and another node sent the state that it knows, with its age.", "Check the connection from this node to the store."},
	{EndpointSlow, "An engine reports that it is slower than usual; paths avoid it where possible.", "Check the engine if it stays slow."},
	{PartHeld, "Endpoints crashed under requests with this part in their prompts, or with this fingerprint; they are refused for a while (5008, 5010). With the field full they are not refused, since too many are.", "Find out who sends them, and why endpoints crash on them; event 206 has the fingerprints and parts."},
	{PartReleased, "A part or fingerprint in quarantine turned out not to be the cause: another one explains the crashes, or an answer was written.", "Nothing."},
	{LimitNamed, "An endpoint names in its answers how many requests a second it takes; all nodes together keep to that.", "Check the endpoint: it asks for less work."},
	{LimitEnded, "An endpoint that named a limit answers without one.", "Nothing."},
	{EndpointBackoff, "An endpoint turned a request away and wants none from this node for a while.", "Check the endpoint if it appears in many of these events."},
	{StoreRestored, "The platform's store came back from a copy that is some seconds old; this node reads it anew and writes again what it needs there.", "Check that the operators' last changes are in force."},
	{EndpointsUnreached, "This node can't connect to an endpoint, or with the field all to any, and other nodes can; it calls them by way of those.", "Check this node's network if it happens often."},
	{EndpointsReached, "This node connects to endpoints itself again; the field unreached counts those that it can't connect to yet.", "Nothing."},
	{EndpointRetained, "The store dropped an endpoint around an outage of its own; it is kept for a while, in case it registers again. The field source says who reported it: the store, or a node.", "Nothing."},
	{StoreRelayed, "The platform's store does not answer this node, which reads it by way of another one; the field node names it.", "Check the connection from this node to the store."},
	{LeaseTaken, "This node now holds the lease and sends the orders to endpoints.", "Nothing."},
	{LeaseLost, "Another node sends the orders now.", "Nothing; check this node if it happens often."},
	{LoadBegun, "An endpoint was chosen to load layers or adapters.", "Nothing."},
	{LoadEnded, "The endpoint reports everything that it was ordered to load.", "Nothing."},
	{LoadCancelled, "A load took longer than placement.load_timeout or its endpoint is gone.", "Check the endpoint and the weight store; the load is retried elsewhere."},
	{HoldingsUnexpected, "The layers or adapters that an endpoint holds changed without an order from this node.", "Find out who else sends it orders; expect one such event after event 600 for endpoints that don't check fencing numbers."},
	{PlacementUnreachable, "The placement stream can't be read or appended to.", "Check the platform's log; no load begins until event 607."},
	{PlacementReachable, "The placement stream is available again.", "Nothing."},
}
