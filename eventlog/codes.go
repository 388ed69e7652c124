package eventlog

// Codes of the gateway, 1000 to 1999.
const (
	RequestRejected       Code = 1001
	RequestOutcomeUnknown Code = 1002
	ResponseCut           Code = 1003
	SlowSender            Code = 1004
	GatewayReady          Code = 1010
	GatewayNotReady       Code = 1011
	GatewayListenFault    Code = 1012
)

// Codes of traffic and routing, 2000 to 2999.
const (
	RequestsShed        Code = 2001
	BackendEjected      Code = 2002
	BackendReturned     Code = 2003
	EjectionLimit       Code = 2004
	SpillStarted        Code = 2006
	SpillEnded          Code = 2007
	SlotsBorrowed       Code = 2009
	PoolWithoutBackends Code = 2010
	AvailabilityAtRisk  Code = 2011
)

// Codes of peers and membership, 3000 to 3999.
const (
	PeerConnected    Code = 3001
	PeerDisconnected Code = 3002
	PeerRefused      Code = 3003
	PeerUnreachable  Code = 3004
	MemberJoined     Code = 3010
	MemberLeft       Code = 3011
	MemberSuspected  Code = 3012
	MemberRecovered  Code = 3013
	MemberEvicted    Code = 3014
	SelfEvicted      Code = 3015
	ViewExpired      Code = 3020
	ViewConfirmed    Code = 3021
	ClockLeadIgnored Code = 3030
)

// Codes of claims, 4000 to 4999.
const (
	ClaimDuplicate        Code = 4001
	ClaimUnknown          Code = 4002
	ClaimTableFull        Code = 4003
	ClaimRecoveryStarted  Code = 4010
	ClaimRecoveryDone     Code = 4011
	ClaimsPossiblyLost    Code = 4012
	ClaimsHandedOver      Code = 4013
	ClaimHandoverFailed   Code = 4014
	ClaimOwnerUnreachable Code = 4015
)

// Codes of jobs and their shards, 4500 to 4999.
const (
	JobAccepted             Code = 4501
	JobRefused              Code = 4502
	JobEnded                Code = 4503
	CallUnanswered          Code = 4504
	CallNotServed           Code = 4505
	WorkspaceOverWeight     Code = 4506
	ShardHandedOver         Code = 4509
	ShardAcquired           Code = 4510
	ShardLoaded             Code = 4511
	ShardLoadFailed         Code = 4512
	ShardLost               Code = 4513
	ShardReleased           Code = 4514
	ShardFailed             Code = 4515
	CallFailed              Code = 4516
	JobRowUnreadable        Code = 4517
	DurationsUnreadable     Code = 4518
	DurationsLearned        Code = 4519
	StartRefused            Code = 4520
	StartUnanswered         Code = 4521
	TaskFailed              Code = 4522
	TaskEvacuated           Code = 4523
	TasksStarted            Code = 4524
	AdviceFailed            Code = 4525
	CopyStarted             Code = 4526
	LastAttemptHeld         Code = 4527
	JobCannotSucceed        Code = 4528
	AdviceReceived          Code = 4529
	WorkerGone              Code = 4530
	WorkerRestarted         Code = 4531
	WorkerUnreachable       Code = 4532
	WorkerLeasePassed       Code = 4533
	WorkerPaced             Code = 4534
	WorkerJoined            Code = 4535
	WorkerFaulty            Code = 4536
	WorkerStalled           Code = 4537
	PaceUnconfirmed         Code = 4538
	RenewalFailed           Code = 4540
	RenewalRestored         Code = 4541
	StoreThroughPeer        Code = 4542
	StoreDirect             Code = 4543
	FeedInterrupted         Code = 4550
	FeedRestored            Code = 4551
	RegistryEntryUnreadable Code = 4552
	JobsConfigReceived      Code = 4553
	ValidityLost            Code = 4554
	ValidityRegained        Code = 4555
	KeyRefused              Code = 4556
	ConnectionsLimited      Code = 4557

	MachineListFailed      Code = 4560
	MachineOrdered         Code = 4561
	MachineOrderRefused    Code = 4562
	MachineOrderUnanswered Code = 4563
	WaveRead               Code = 4570
	WaveCompleted          Code = 4571
	WaveSaveFailed         Code = 4572

	CapReached       Code = 4580
	CapNeedUnmet     Code = 4581
	JobHeldBackByCap Code = 4582
	CapRowUnreadable Code = 4583
	JobIDTaken       Code = 4584
	IDHomeUnknown    Code = 4585

	StatusDropped      Code = 4586
	EndsForgotten      Code = 4587
	StopOrdered        Code = 4588
	CommitFound        Code = 4589
	RunRemoved         Code = 4590
	EndsMissing        Code = 4591
	TasksRestarted     Code = 4592
	EndIgnored         Code = 4593
	WorkerWaitExpired  Code = 4594
	EndsStored         Code = 4595
	HeadClaimed        Code = 4596
	WorkerOverCapacity Code = 4597
	StartsLimited      Code = 4598

	WorkerSilenceUnproven Code = 4599

	WorkerQuarantined Code = 4620
	WorkerProven      Code = 4621
	OrderNotSent      Code = 4622
)

// Codes of the store, 5000 to 5999.
const (
	StoreReachable         Code = 5001
	StoreUnreachable       Code = 5002
	BreakerOpened          Code = 5003
	BreakerClosed          Code = 5004
	OutcomeUnresolved      Code = 5006
	WriteBudgetSpent       Code = 5007
	RowUnreadable          Code = 5008
	VMListStale            Code = 5009
	TransactionRejected    Code = 5010
	StoreRevisionDecreased Code = 5011
)

// Codes of plans and moves, 6000 to 6999.
const (
	IntentCreated    Code = 6001
	PlanProposed     Code = 6002
	PlanConfirmed    Code = 6003
	PlanRefused      Code = 6004
	PlanRejected     Code = 6005
	PlanCancelled    Code = 6006
	PlanDone         Code = 6007
	PlanBlocked      Code = 6008
	PlanLeaseTaken   Code = 6010
	PlanLeaseLost    Code = 6011
	MoveStep         Code = 6020
	MoveStepRetried  Code = 6021
	RebootFailed     Code = 6023
	ProbeFailed      Code = 6024
	DrainUnconfirmed Code = 6025
	VMLeaving        Code = 6030
)

// Codes of configuration, 7000 to 7999.
const (
	ConfigAccepted           Code = 7001
	ConfigInForce            Code = 7002
	ConfigReceived           Code = 7003
	ConfigLagging            Code = 7004
	ConfigRefused            Code = 7005
	ConfigUnreadable         Code = 7006
	ConfigPushFailed         Code = 7008
	ConfigServiceWithoutPool Code = 7009
)

// Codes of the administration API, 8000 to 8999.
const (
	AdminWrite          Code = 8001
	AdminUnauthorized   Code = 8002
	AdminForbidden      Code = 8003
	AdminTokenExpired   Code = 8004
	AdminWriteFailed    Code = 8005
	AdminWriteUnknown   Code = 8006
	AdminReplayed       Code = 8007
	AdminPanic          Code = 8008
	AdminTokenExpiring  Code = 8009
	AdminListenFault    Code = 8010
	AdminRequestInvalid Code = 8011
	AdminReadFailed     Code = 8012
)

// Codes of the process, 9000 to 9999.
const (
	ProcessStarted     Code = 9001
	ProcessReady       Code = 9002
	ProcessStopping    Code = 9003
	ProcessStopped     Code = 9004
	ProcessStopForced  Code = 9005
	ProcessPaused      Code = 9006
	ProcessFailed      Code = 9007
	MetricsListenFault Code = 9008
	LogLinesDropped    Code = 9009
	LogLinesLimited    Code = 9010
	SettingsReloaded   Code = 9011
	SettingsRefused    Code = 9012
)

// catalogue defines each code once, in ascending order. docs/EVENTS.md contains the same rows.
var catalogue = []Definition{
	{RequestRejected, "request-rejected", LevelInfo, "A caller's request was malformed or matched no service and was not run."},
	{RequestOutcomeUnknown, "request-outcome-unknown", LevelWarning, "A request was sent and no complete answer arrived."},
	{ResponseCut, "response-cut", LevelWarning, "A streamed response ended early; the connection to the caller was aborted."},
	{SlowSender, "slow-sender", LevelInfo, "A caller sent its request too slowly and got status 408."},
	{GatewayReady, "gateway-ready", LevelInfo, "The readiness endpoint reports ready."},
	{GatewayNotReady, "gateway-not-ready", LevelWarning, "The readiness endpoint reports not ready."},
	{GatewayListenFault, "gateway-listen-fault", LevelAlarm, "The listener for callers failed."},

	{RequestsShed, "requests-shed", LevelWarning, "Requests were shed before they were sent; one event sums up an interval."},
	{BackendEjected, "backend-ejected", LevelWarning, "A backend server was ejected from routing because of its errors."},
	{BackendReturned, "backend-returned", LevelInfo, "An ejected backend server is used again."},
	{EjectionLimit, "ejection-limit", LevelAlarm, "Half of a pool is ejected; further failing backend servers stay in use."},
	{SpillStarted, "spill-started", LevelInfo, "Requests are sent to another availability zone because the process's own zone is full."},
	{SpillEnded, "spill-ended", LevelInfo, "Requests are sent only to the process's own availability zone again."},
	{SlotsBorrowed, "slots-borrowed", LevelInfo, "Worker slots were borrowed from a peer."},
	{PoolWithoutBackends, "pool-without-backends", LevelAlarm, "A pool with a service has no routable backend server."},
	{AvailabilityAtRisk, "availability-at-risk", LevelAlarm, "A service consumes its availability budget faster than its limit allows."},

	{PeerConnected, "peer-connected", LevelInfo, "A session with another entry process was opened."},
	{PeerDisconnected, "peer-disconnected", LevelWarning, "A session with another entry process ended."},
	{PeerRefused, "peer-refused", LevelWarning, "A session or message of a peer was refused."},
	{PeerUnreachable, "peer-unreachable", LevelWarning, "No session with an entry process could be opened; one event sums up an interval."},
	{MemberJoined, "member-joined", LevelInfo, "An entry process joined the member view."},
	{MemberLeft, "member-left", LevelInfo, "An entry process left the member view after a planned stop."},
	{MemberSuspected, "member-suspected", LevelWarning, "A member was silent for longer than the suspicion timeout."},
	{MemberRecovered, "member-recovered", LevelInfo, "A suspected member sent a message again."},
	{MemberEvicted, "member-evicted", LevelAlarm, "A member was evicted from the member view."},
	{SelfEvicted, "self-evicted", LevelAlarm, "This process detected that it was evicted, and rejoins with a new incarnation."},
	{ViewExpired, "view-expired", LevelAlarm, "The view of the fleet is no longer valid; no new requests are sent."},
	{ViewConfirmed, "view-confirmed", LevelInfo, "The view of the fleet is valid again."},
	{ClockLeadIgnored, "clock-lead-ignored", LevelWarning, "A peer's timestamp was too far ahead and was not adopted."},

	{ClaimDuplicate, "claim-duplicate", LevelInfo, "A key was claimed before; the request was not sent again."},
	{ClaimUnknown, "claim-unknown", LevelWarning, "It is unknown whether a key was claimed before; the request was not sent."},
	{ClaimTableFull, "claim-table-full", LevelAlarm, "The claim table is full; new requests with a key are refused."},
	{ClaimRecoveryStarted, "claim-recovery-started", LevelInfo, "This process asks the members for claims of its new range."},
	{ClaimRecoveryDone, "claim-recovery-done", LevelInfo, "All members answered; claims of the range are known."},
	{ClaimsPossiblyLost, "claims-possibly-lost", LevelWarning, "Claims may be lost; until the claim window has passed, requests with an unrecorded key are answered as unknown."},
	{ClaimsHandedOver, "claims-handed-over", LevelInfo, "Claims were handed over before a planned stop."},
	{ClaimHandoverFailed, "claim-handover-failed", LevelWarning, "Claims could not be handed over; the new owners recover them."},
	{ClaimOwnerUnreachable, "claim-owner-unreachable", LevelWarning, "The owner of a key could not be reached; the request was not sent."},

	{JobAccepted, "job-accepted", LevelInfo, "A job was committed and its submission was answered."},
	{JobRefused, "job-refused", LevelInfo, "A job was refused before it was committed; it never runs."},
	{JobEnded, "job-ended", LevelInfo, "The final state of a job was committed."},
	{CallUnanswered, "call-unanswered", LevelWarning, "A call to the owner of a shard got no answer; the outcome is unknown."},
	{CallNotServed, "call-not-served", LevelInfo, "A caller was told that its call was refused, or that its outcome is unknown."},
	{WorkspaceOverWeight, "workspace-over-weight", LevelInfo, "A workspace sent more jobs to a pool than its weight in the last second; the fields give the numbers accepted as excess, counted as within weight later, refused, and waiting."},
	{ShardHandedOver, "shard-handed-over", LevelInfo, "This process hands a shard over to a process with more CPU for it."},
	{ShardAcquired, "shard-acquired", LevelInfo, "This process became the owner of a shard."},
	{ShardLoaded, "shard-loaded", LevelInfo, "The rows of a shard were read; its jobs continue."},
	{ShardLoadFailed, "shard-load-failed", LevelWarning, "The rows of a shard could not be read; the read is retried."},
	{ShardLost, "shard-lost", LevelWarning, "Another owner of a shard was detected; this process stops acting on the shard."},
	{ShardReleased, "shard-released", LevelInfo, "This process no longer owns a shard."},
	{ShardFailed, "shard-failed", LevelAlarm, "An unexpected error occurred while a shard was handled; this process releases the shard, and it is acquired again."},
	{CallFailed, "call-failed", LevelAlarm, "An unexpected error occurred while a message was handled; other messages are not affected."},
	{JobRowUnreadable, "job-row-unreadable", LevelAlarm, "A row of a shard cannot be decoded; it is not changed, and the other rows are used."},
	{DurationsUnreadable, "durations-unreadable", LevelWarning, "The learned durations of a pool cannot be decoded; they are learned again."},
	{DurationsLearned, "durations-learned", LevelInfo, "The durations that were learned for a queue, at most once a minute."},
	{StartRefused, "start-refused", LevelInfo, "A worker refused to start a task; nothing was started."},
	{StartUnanswered, "start-unanswered", LevelWarning, "A worker did not answer a start order; the run is stopped before the task starts again."},
	{TaskFailed, "task-failed", LevelInfo, "A run of a task failed."},
	{TaskEvacuated, "task-evacuated", LevelInfo, "A long-running task is moved off a worker that is being vacated."},
	{TasksStarted, "tasks-started", LevelInfo, "Tasks of a step were assigned to workers, in one pass over the waiting tasks."},
	{AdviceFailed, "advice-failed", LevelWarning, "The request for advice on the workers of a step failed; it is retried."},
	{CopyStarted, "copy-started", LevelInfo, "A second run of a task was started in parallel, because the first one takes long."},
	{LastAttemptHeld, "last-attempt-held", LevelInfo, "The last attempt of a task waits for a worker with recent successful runs."},
	{JobCannotSucceed, "job-cannot-succeed", LevelInfo, "A task failed on a worker with recent successful runs and on another one; the failures of its job are not attributed to workers."},
	{AdviceReceived, "advice-received", LevelInfo, "The adviser has answered on the workers of a step."},
	{WorkerGone, "worker-gone", LevelInfo, "A worker has ended; its tasks start on other workers."},
	{WorkerRestarted, "worker-reborn", LevelInfo, "A worker restarted under the same id; its previous runs no longer exist."},
	{WorkerUnreachable, "worker-unreachable", LevelWarning, "A worker does not answer; no new tasks are assigned to it."},
	{WorkerLeasePassed, "worker-lease-passed", LevelWarning, "The lease of a worker that does not answer has expired; its tasks start on other workers."},
	{WorkerPaced, "worker-paced", LevelInfo, "The CPU share of the best-effort tasks of a worker was changed, because of the latency of its serving tasks."},
	{WorkerJoined, "worker-joined", LevelInfo, "A worker answered for the first time; tasks can now be assigned to it."},
	{WorkerFaulty, "worker-faulty", LevelWarning, "Runs of several jobs failed in a row on a worker; no tasks are assigned to it for a while."},
	{WorkerStalled, "worker-stalled", LevelWarning, "The runs of a worker make no progress although it answers; they start on other workers, and no tasks are assigned to it for a while."},
	{PaceUnconfirmed, "pace-unconfirmed", LevelWarning, "An order on the pace of a task got no answer or was refused; it may be carried out late, so the pace is ordered again."},
	{RenewalFailed, "renewal-failed", LevelWarning, "The renewal of this process's row failed; its authority to act expires soon."},
	{RenewalRestored, "renewal-restored", LevelInfo, "The renewal of this process's row succeeds again."},
	{StoreThroughPeer, "store-through-peer", LevelWarning, "The table service does not serve this process; calls go through another process."},
	{StoreDirect, "store-own-way", LevelInfo, "This process calls the table service directly again."},
	{FeedInterrupted, "feed-interrupted", LevelWarning, "Changes of a table of the platform cannot be read."},
	{FeedRestored, "feed-restored", LevelInfo, "Changes of a table of the platform are read again."},
	{RegistryEntryUnreadable, "entry-unreadable", LevelWarning, "An entry of the platform's registry cannot be decoded; it is ignored."},
	{JobsConfigReceived, "jobs-config-received", LevelInfo, "A configuration of queues and pools is in force at this process."},
	{ValidityLost, "validity-lost", LevelWarning, "The configuration was not confirmed in time; calls with a key are refused, public routes are served."},
	{ValidityRegained, "validity-regained", LevelInfo, "The configuration is confirmed; calls with a key are served."},
	{KeyRefused, "key-refused", LevelInfo, "A call had no key, or one that is not in the configuration; no success was reported."},
	{ConnectionsLimited, "connections-limited", LevelWarning, "A connection was closed or refused because those of its listener reached a limit."},
	{MachineListFailed, "machine-list-failed", LevelWarning, "The platform's list of machines cannot be read."},
	{MachineOrdered, "machine-ordered", LevelInfo, "The platform carries out a move or the maintenance of a VM."},
	{MachineOrderRefused, "machine-order-refused", LevelInfo, "The platform refused an order for a VM; the order had no effect."},
	{MachineOrderUnanswered, "machine-order-unanswered", LevelWarning, "The platform did not answer an order for a VM; the order is repeated."},
	{WaveRead, "wave-seen", LevelInfo, "A maintenance wave was read, together with its recorded progress."},
	{WaveCompleted, "wave-completed", LevelInfo, "The maintenance of every VM of a maintenance wave has begun."},
	{WaveSaveFailed, "wave-save-failed", LevelWarning, "The progress of a maintenance wave could not be recorded; the write is retried."},
	{CapReached, "cap-reached", LevelInfo, "The cap of a workspace, or the pool's share of it, holds back the start of a task."},
	{CapNeedUnmet, "cap-need-unmet", LevelInfo, "For over a second, a pool has held less of a workspace's cap than it needs."},
	{JobHeldBackByCap, "job-held-back-by-cap", LevelInfo, "The cap of its workspace has held back a job's next step for over a second."},
	{CapRowUnreadable, "cap-row-unreadable", LevelWarning, "The division of a workspace's cap cannot be decoded; no task of the workspace starts until it is written again."},
	{JobIDTaken, "job-id-taken", LevelInfo, "A submission was not stored because its ID is that of a job that is stored already, in another pool as a rule."},
	{IDHomeUnknown, "id-home-unknown", LevelWarning, "A pool could not learn in which part the rows of the IDs at an address are; it asks again, and the jobs wait or are refused."},
	{StatusDropped, "status-dropped", LevelWarning, "A status of a worker was not applied although it lists ends, or runs, that no applied status accounts for; at most 10 lines a second for each shard."},
	{EndsForgotten, "ends-forgotten", LevelWarning, "A worker no longer lists the end of a run although no acknowledgement of it was sent to this incarnation; one line for each incarnation."},
	{StopOrdered, "stop-ordered", LevelInfo, "A run is stopped although its task is not done, or because the owner does not know its task; at most 10 lines a second for each shard and reason."},
	{CommitFound, "commit-found", LevelInfo, "A transaction of a shard without an answer was found applied, since the head row has its number."},
	{RunRemoved, "run-removed", LevelWarning, "Runs on a worker no longer count although no end of them was applied; each line gives the reason and names at most 14 runs."},
	{EndsMissing, "ends-missing", LevelWarning, "A worker's list of ended runs skips numbers that were never applied; the ends of these runs are unknown."},
	{TasksRestarted, "tasks-restarted", LevelInfo, "Tasks of a step are started again after a run that did not end as done or failed; the fields name that run, its worker and incarnation, why it no longer counts, and what has shown it."},
	{EndIgnored, "end-ignored", LevelWarning, "The end of a run was not applied, because its job or task is unknown or unreadable, or the task was already done; it is acknowledged all the same."},
	{WorkerWaitExpired, "worker-wait-expired", LevelWarning, "A worker of a former owner did not reply until all its leases had expired; its tasks can start on other workers."},
	{EndsStored, "ends-stored", LevelInfo, "Up to which number the ends of workers are stored, or need no row; at most one line a second for each shard, and the rest when its owner stops, with the number of its last transaction and up to 24 workers."},
	{HeadClaimed, "head-claimed", LevelInfo, "This process claimed the head row of a shard; the fields name the former owner and its last transaction."},
	{WorkerOverCapacity, "worker-over-capacity", LevelWarning, "The runs that execute on a worker need more than its capacity."},
	{StartsLimited, "starts-limited", LevelInfo, "Replies to start orders are late, so the owner of a shard has fewer of them in flight."},
	{WorkerSilenceUnproven, "worker-silence-unproven", LevelWarning, "A worker does not reply, but replies to this process are late in general; the worker's runs are not given up. At most one line a second for each shard."},
	{WorkerQuarantined, "worker-quarantined", LevelWarning, "An acknowledgement for a former incarnation may have reached a worker: it gets no tasks until its ends prove that it forgets none."},
	{WorkerProven, "worker-proven", LevelInfo, "A quarantined worker has proved that it lists its ends; it gets tasks again."},
	{OrderNotSent, "order-not-sent", LevelInfo, "A hold or a stop was not sent, because another incarnation of its worker has answered; at most 10 lines a second for each shard."},

	{StoreReachable, "store-reachable", LevelInfo, "The table service answers again."},
	{StoreUnreachable, "store-unreachable", LevelAlarm, "The table service does not answer; nothing can be changed, requests are served."},
	{BreakerOpened, "breaker-opened", LevelWarning, "The circuit breaker of the table service opened."},
	{BreakerClosed, "breaker-closed", LevelInfo, "The circuit breaker of the table service closed."},
	{OutcomeUnresolved, "outcome-unresolved", LevelAlarm, "An outcome is still unknown at the end of the resolution budget."},
	{WriteBudgetSpent, "write-budget-spent", LevelWarning, "The write budget of the table service is spent; plans progress more slowly."},
	{RowUnreadable, "row-unreadable", LevelAlarm, "A row of the table service cannot be decoded."},
	{VMListStale, "vm-list-stale", LevelWarning, "The platform's VM list has not been read for longer than its limit."},
	{TransactionRejected, "transaction-rejected", LevelInfo, "A transaction was rejected because a row had changed."},
	{StoreRevisionDecreased, "store-revision-decreased", LevelAlarm, "The table service returned a lower revision than before."},

	{IntentCreated, "intent-created", LevelInfo, "An operator created an intent."},
	{PlanProposed, "plan-proposed", LevelInfo, "A plan was computed for an intent."},
	{PlanConfirmed, "plan-confirmed", LevelInfo, "An operator confirmed a plan."},
	{PlanRefused, "plan-refused", LevelWarning, "A confirmation was refused because a precondition had changed."},
	{PlanRejected, "plan-rejected", LevelInfo, "An operator rejected a plan."},
	{PlanCancelled, "plan-cancelled", LevelInfo, "An operator cancelled a confirmed plan."},
	{PlanDone, "plan-done", LevelInfo, "All steps of a plan are done."},
	{PlanBlocked, "plan-blocked", LevelAlarm, "A plan cannot proceed without an operator."},
	{PlanLeaseTaken, "plan-lease-taken", LevelInfo, "This process drives a plan."},
	{PlanLeaseLost, "plan-lease-lost", LevelWarning, "Another process took over a plan that this process drove."},
	{MoveStep, "move-step", LevelInfo, "A VM reached the next phase of its move."},
	{MoveStepRetried, "move-step-retried", LevelWarning, "A step of a move failed and is repeated."},
	{RebootFailed, "reboot-failed", LevelAlarm, "The platform reports that a reboot failed."},
	{ProbeFailed, "probe-failed", LevelWarning, "A moved VM did not answer its probe."},
	{DrainUnconfirmed, "drain-unconfirmed", LevelWarning, "A member has not confirmed a drain yet."},
	{VMLeaving, "vm-leaving", LevelInfo, "A VM was announced as leaving; it receives no new requests."},

	{ConfigAccepted, "config-accepted", LevelInfo, "A configuration was committed as the next version."},
	{ConfigInForce, "config-in-force", LevelInfo, "All live members have confirmed a configuration version."},
	{ConfigReceived, "config-received", LevelInfo, "This process adopted a newer configuration."},
	{ConfigLagging, "config-lagging", LevelAlarm, "A live member has not confirmed a configuration within the limit."},
	{ConfigRefused, "config-refused", LevelInfo, "A configuration was refused because it was invalid or its base version was old."},
	{ConfigUnreadable, "config-unreadable", LevelAlarm, "A received configuration cannot be decoded; the previous one stays in force."},
	{ConfigPushFailed, "config-push-failed", LevelWarning, "A configuration could not be pushed to a peer; the peer reads it from the store."},
	{ConfigServiceWithoutPool, "config-service-without-pool", LevelWarning, "A service of the configuration names a pool that does not exist."},

	{AdminWrite, "admin-write", LevelInfo, "An operator's change was carried out."},
	{AdminUnauthorized, "admin-unauthorized", LevelWarning, "A request to the administration API carried no valid token."},
	{AdminForbidden, "admin-forbidden", LevelWarning, "An operator's role does not permit the request."},
	{AdminTokenExpired, "admin-token-expired", LevelWarning, "A request to the administration API carried an expired token."},
	{AdminWriteFailed, "admin-write-failed", LevelWarning, "An operator's change was refused or failed."},
	{AdminWriteUnknown, "admin-write-unknown", LevelAlarm, "It is not known whether an operator's change took effect."},
	{AdminReplayed, "admin-replayed", LevelInfo, "A repeated change was answered with the recorded reply."},
	{AdminPanic, "admin-panic", LevelAlarm, "A handler of the administration API panicked."},
	{AdminTokenExpiring, "admin-token-expiring", LevelWarning, "An operator's token expires soon."},
	{AdminListenFault, "admin-listen-fault", LevelAlarm, "The listener of the administration API failed."},
	{AdminRequestInvalid, "admin-request-invalid", LevelInfo, "A request to the administration API could not be decoded."},
	{AdminReadFailed, "admin-read-failed", LevelWarning, "A read of the administration API failed because of an internal fault."},

	{ProcessStarted, "process-started", LevelInfo, "The entry process started."},
	{ProcessReady, "process-ready", LevelInfo, "The entry process has configuration and a valid view and serves callers."},
	{ProcessStopping, "process-stopping", LevelInfo, "A planned stop began."},
	{ProcessStopped, "process-stopped", LevelInfo, "The entry process stopped with no request in flight."},
	{ProcessStopForced, "process-stop-forced", LevelAlarm, "The stop timeout passed with requests in flight; they were cut off."},
	{ProcessPaused, "process-paused", LevelWarning, "The process was suspended for longer than the validity of its view."},
	{ProcessFailed, "process-failed", LevelAlarm, "The entry process ends because of an internal fault."},
	{MetricsListenFault, "metrics-listen-fault", LevelAlarm, "The listener for metrics failed."},
	{LogLinesDropped, "log-lines-dropped", LevelWarning, "Log lines were dropped because their reader was too slow; the fields give their number and event, or no event for all since the start."},
	{LogLinesLimited, "log-lines-limited", LevelWarning, "The log lines of an event exceeded their rate limit; the fields name the event and the number of lines left out."},
	{SettingsReloaded, "settings-reloaded", LevelInfo, "A changed settings file is in force, as far as it can be without a restart."},
	{SettingsRefused, "settings-refused", LevelWarning, "A changed settings file has faults; the previous settings stay in force."},
}
