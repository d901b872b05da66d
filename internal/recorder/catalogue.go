package recorder

// Row is an event's line in docs/EVENTS.md.
type Row struct {
	Event Event
	// Meaning says what happened.
	Meaning string
	// Advice is what someone on call does about it.
	Advice string
}

// Catalogue lists every event once, in order.
func Catalogue() []Row {
	return catalogue
}

var catalogue = []Row{
	{NodeStarted, "The process runs; it may not be ready yet.", "Nothing."},
	{NodeReady, "The node has read the configuration to its end.", "Nothing."},
	{NodeLeaving, "A planned stop has begun.", "Wait for event 103."},
	{NodeStopped, "Everything has ended and the process exits.", "Nothing."},
	{StopDeadlineExceeded, "The stop deadline passed with requests in progress.", "Raise stop.deadline if requests take that long."},
	{StepFailed, "A part of the node failed and took the node down.", "Read the error; start the node again."},
	{LinesDropped, "Lines of the log were dropped to keep its volume bounded; the count is in the fields.", "Raise log.rate if the lines are needed."},
	{SettingsReloaded, "The settings file was read again and its values are in force.", "Nothing."},
	{SettingsRejected, "The settings file changed and has faults; the last values stay in force.", "Mend every fault named."},
	{LatencySummary, "The latency histograms since the node's start, as its metrics have them; the last line of a node is of its planned stop.", "Nothing."},
	{RequestRefused, "A request got a refusal; its code is in the fields.", "Look the code up with banyanquay explain CODE."},
	{RequestEnded, "A request ended.", "Nothing."},
	{StageReplaced, "A pipeline goes on with other endpoints.", "Nothing."},
	{StageFailed, "An endpoint failed a step of a pipeline.", "Look at the endpoint if it stands in many of these."},
	{OutcomeLost, "A non-idempotent request was sent and its outcome is not recorded.", "Check with the service; the caller was told maybe."},
	{CacheNotImported, "A lost stage's cache could not be handed over; its inputs are run again.", "Look at the engine's export if it stands in many of these."},
	{TryFailed, "A request got no good answer at an endpoint; event 200 or 201 of the same request says how it went on.", "Look at the endpoint if it stands in many of these."},
	{PathChanged, "A stream goes on along another path of engines.", "Nothing."},
	{StreamStalled, "A stream made no progress for longer than its path usually takes.", "Look at the engines named as suspects if they stand in many of these."},
	{RefusalNotEncoded, "The body of a refusal could not be encoded.", "Report the request."},
	{LedgerUnreachable, "Appends to or reads of the ledger fail.", "Check the platform's log; non-idempotent requests are refused until event 301."},
	{LedgerReachable, "The ledger can be used again.", "Nothing."},
	{LedgerGap, "Records were dropped before this node read them.", "Old keys are refused until they have run out; check why the node was away."},
	{LedgerBadRecord, "A ledger record can't be decoded and was passed over.", "Find who writes to the stream."},
	{ConfigApplied, "A change of configuration is in force at this node.", "Nothing."},
	{ConfigRejected, "A change lost against another or was malformed.", "Nothing; its operator was told."},
	{ConfigUnreachable, "The configuration stream can't be read.", "Check the platform's log; the last configuration stays in force."},
	{ConfigReachable, "The configuration stream can be read again.", "Nothing."},
	{ConfigBadRecord, "A configuration record can't be decoded and was passed over.", "Find who writes to the stream."},
	{ConfigSnapshot, "This node carried the configuration forward in the log.", "Nothing."},
	{ConfigGap, "Configuration records were dropped before this node read them.", "Wait for a snapshot; without one, publish the organisations again."},
	{ConfigRestored, "An operator put the configuration back after its records were lost.", "Check the organisations with banyanquay orgs."},
	{PeerUp, "A node joined or came back.", "Nothing."},
	{PeerSuspect, "A node does not answer some of the others.", "Nothing yet."},
	{PeerDown, "A node is gone.", "Replace the VM if that was not planned."},
	{PeerLeaving, "A node has begun a planned stop.", "Nothing."},
	{EndpointUp, "An endpoint answers.", "Nothing."},
	{EndpointDown, "An endpoint does not answer.", "Look at the endpoint's VM."},
	{EndpointLeaving, "An endpoint leaves; it gets no new work.", "Nothing."},
	{ListUnreachable, "The platform's list of VMs can't be read.", "Check the platform; the last list stays in use."},
	{LinkUp, "A link to another node is up.", "Nothing."},
	{LinkDown, "A link to another node broke; it is dialled again.", "Look at the network if it stays down."},
	{CentreUnreachable, "No node of a data centre answers; they are kept as unreachable.", "Look at the network between the data centres."},
	{CentreReachable, "A data centre that was cut off answers again.", "Nothing."},
	{NodeResumed, "This node did not run for a while and learns the fleet's state anew.", "Look at the VM's host if it happens often."},
	{ListReachable, "The platform's list of VMs can be read again.", "Nothing."},
	{ListBadRecord, "A record of the nodes or of the lead can't be decoded and was passed over.", "Find who writes to the topic."},
	{StoreUnreachable, "Calls to the platform's store fail; what was read last stays in use as long as it may.", "Check the platform's store; look for event 516."},
	{StoreReachable, "The platform's store answers again.", "Nothing."},
	{HoldingsChanged, "An endpoint reports other layers than before.", "Nothing."},
	{EndpointSuspect, "An endpoint gets no new work for a while, since work given to it failed or stalled.", "Look at the endpoint if it is doubted often."},
	{StateFromPeer, "The platform's store does not answer this node, and another node told what it knows, with its age.", "Check the way from this node to the store."},
	{EndpointSlow, "An engine reports that it is slower than usual; paths avoid it where they can.", "Look at the engine if it stays slow."},
	{LeaseTaken, "This node gives orders to endpoints from now on.", "Nothing."},
	{LeaseLost, "Another node gives the orders now.", "Nothing; look at this node if it happens often."},
	{LoadBegun, "An endpoint was chosen to load layers or adapters.", "Nothing."},
	{LoadEnded, "The endpoint reports all that it was to load.", "Nothing."},
	{LoadCancelled, "A load took longer than placement.load_timeout or its endpoint is gone.", "Look at the endpoint and the weight store; the load is tried again elsewhere."},
	{HoldingsUnexpected, "What an endpoint holds changed, and this node did not order it.", "Find who else gives it orders; expect one after event 600 at endpoints that don't check fencing numbers."},
	{PlacementUnreachable, "The placement stream can't be read or appended to.", "Check the platform's log; no load begins until event 607."},
	{PlacementReachable, "The placement stream can be used again.", "Nothing."},
}
