package settings

import "time"

// Log holds the settings for logging.
type Log struct {
	LogLevel string `arg:"--log-level,env:CURRANTKNOT_LOG_LEVEL" default:"info" placeholder:"LEVEL" help:"minimum level of logged messages: debug, info, warn or error"`
}

// Operator holds the settings of the commands that call the operators' API of an instance.
type Operator struct {
	Instance string        `arg:"--instance,env:CURRANTKNOT_INSTANCE" default:"http://127.0.0.1:7402" placeholder:"URL" help:"operator address of any instance"`
	Token    string        `arg:"--token,env:CURRANTKNOT_TOKEN" placeholder:"TOKEN" help:"token of the operator's team"`
	Timeout  time.Duration `arg:"--timeout,env:CURRANTKNOT_TIMEOUT" default:"10s" placeholder:"TIME" help:"maximum time to wait for a response"`
	JSON     bool          `arg:"--json" help:"print JSON instead of a table"`
}

// Limits holds the limits of what the clients of an instance may use. A request or connection beyond a limit is refused or closed,
// and counted by reason.
type Limits struct {
	MaxCallerConnections int           `arg:"--max-caller-connections,env:CURRANTKNOT_MAX_CALLER_CONNECTIONS" default:"0" placeholder:"N" help:"maximum number of open connections of callers; 0 for three eighths of the descriptors beside 200 for files, and as many as a quarter of the memory allows at 56 KiB each (1,298 on a machine of 284 MB and 4,100 descriptors). Beyond it, the connection with the least progress is closed. Counted as connections and displaced"`
	RequestMemoryMB      int           `arg:"--request-memory-mb,env:CURRANTKNOT_REQUEST_MEMORY_MB" default:"0" placeholder:"MB" help:"memory of all requests of callers in progress, in MiB; 0 for a fifth of the memory. Beyond it, requests are refused with 503 and Retry-After. Counted as memory and displaced"`
	MaxHeadBytes         int           `arg:"--max-head-bytes,env:CURRANTKNOT_MAX_HEAD_BYTES" default:"65536" placeholder:"BYTES" help:"maximum size of the head of a request; four times the limit of the configuration if that is more. Counted as large_head"`
	HeadTimeout          time.Duration `arg:"--head-timeout,env:CURRANTKNOT_HEAD_TIMEOUT" default:"10s" placeholder:"TIME" help:"time for the head of a request, unless the configuration has one. Counted as slow_head"`
	IdleTimeout          time.Duration `arg:"--idle-timeout,env:CURRANTKNOT_IDLE_TIMEOUT" default:"2m" placeholder:"TIME" help:"time between two requests on a connection, unless the configuration has one. Counted as idle"`
	BodyStallTimeout     time.Duration `arg:"--body-stall-timeout,env:CURRANTKNOT_BODY_STALL_TIMEOUT" default:"5s" placeholder:"TIME" help:"time without a byte of a body that the instance waits for; after as long, the minimum rate holds. Counted as stalled_body"`
	MinBodyRate          int           `arg:"--min-body-rate,env:CURRANTKNOT_MIN_BODY_RATE" default:"1024" placeholder:"BYTES" help:"minimum rate of a body in bytes per second, over the time that the instance waits for it. Counted as slow_body"`
	AnswerTimeout        time.Duration `arg:"--answer-timeout,env:CURRANTKNOT_ANSWER_TIMEOUT" default:"10s" placeholder:"TIME" help:"time for a client to read what the instance writes at once, and to end its request after the answer. Counted as unread_answer"`
}

// Serve holds the settings of the daemon, which is one instance of the system.
type Serve struct {
	Log
	Limits
	Name            string        `arg:"--name,env:CURRANTKNOT_NAME" placeholder:"NAME" help:"name of this instance, unique among all"`
	FailureDomain   string        `arg:"--failure-domain,env:CURRANTKNOT_FAILURE_DOMAIN" placeholder:"NAME" help:"failure domain of this instance"`
	CallerListen    string        `arg:"--caller-listen,env:CURRANTKNOT_CALLER_LISTEN" default:"127.0.0.1:7401" placeholder:"ADDRESS" help:"address that serves callers"`
	OperatorListen  string        `arg:"--operator-listen,env:CURRANTKNOT_OPERATOR_LISTEN" default:"127.0.0.1:7402" placeholder:"ADDRESS" help:"address that serves operators, readiness and metrics"`
	PeerListen      string        `arg:"--peer-listen,env:CURRANTKNOT_PEER_LISTEN" default:"127.0.0.1:7403" placeholder:"ADDRESS" help:"address that serves the other instances"`
	PeerAdvertise   string        `arg:"--peer-advertise,env:CURRANTKNOT_PEER_ADVERTISE" placeholder:"ADDRESS" help:"address at which other instances reach this one; the listen address by default"`
	Peers           []string      `arg:"--peers,env:CURRANTKNOT_PEERS" placeholder:"ADDRESS" help:"initial peer addresses, in addition to those that the platform lists"`
	Platform        string        `arg:"--platform,env:CURRANTKNOT_PLATFORM" default:"http://127.0.0.1:7400" placeholder:"URL" help:"address of the platform"`
	PlatformTimeout time.Duration `arg:"--platform-timeout,env:CURRANTKNOT_PLATFORM_TIMEOUT" default:"1s" placeholder:"TIME" help:"timeout of a call to the platform, in addition to the wait time that the call requests"`
	ListEvery       time.Duration `arg:"--list-every,env:CURRANTKNOT_LIST_EVERY" default:"1s" placeholder:"TIME" help:"interval between reads of the platform's lists"`
	HeartbeatEvery  time.Duration `arg:"--heartbeat-every,env:CURRANTKNOT_HEARTBEAT_EVERY" default:"500ms" placeholder:"TIME" help:"interval between heartbeats"`
	SyncEvery       time.Duration `arg:"--sync-every,env:CURRANTKNOT_SYNC_EVERY" default:"1s" placeholder:"TIME" help:"interval at which the owner of a shard syncs with each of its workers"`
	Lease           time.Duration `arg:"--lease,env:CURRANTKNOT_LEASE" default:"30s" placeholder:"TIME" help:"time for which a worker keeps running tasks after the last lease renewal by their owner"`
	DrainDelay      time.Duration `arg:"--drain-delay,env:CURRANTKNOT_DRAIN_DELAY" default:"3s" placeholder:"TIME" help:"time between failing readiness and closing the listeners"`
	RoutingPolicy   string        `arg:"--routing-policy,env:CURRANTKNOT_ROUTING_POLICY" default:"slots" placeholder:"NAME" help:"routing policy: random, round-robin, least-loaded, two-choices or slots"`
	PlacementPolicy string        `arg:"--placement-policy,env:CURRANTKNOT_PLACEMENT_POLICY" default:"colocated" placeholder:"NAME" help:"placement policy: random, first-fit, best-fit, spread or colocated"`
	TLSCertificate  string        `arg:"--tls-certificate,env:CURRANTKNOT_TLS_CERTIFICATE" placeholder:"FILE" help:"certificate that this instance presents to other instances, in PEM; read again when it changes"`
	TLSKey          string        `arg:"--tls-key,env:CURRANTKNOT_TLS_KEY" placeholder:"FILE" help:"private key of the certificate, in PEM"`
	TLSAuthority    string        `arg:"--tls-authority,env:CURRANTKNOT_TLS_AUTHORITY" placeholder:"FILE" help:"certificates of the authorities that sign the certificates of all instances, in PEM"`
	OperatorTokens  string        `arg:"--operator-tokens,env:CURRANTKNOT_OPERATOR_TOKENS" placeholder:"FILE" help:"file with lines of TOKEN TEAM; a team may edit its own sections, the team * all sections; read again when it changes"`
	KeyMemoryMB     int           `arg:"--key-memory-mb,env:CURRANTKNOT_KEY_MEMORY_MB" default:"0" placeholder:"MB" help:"memory of idempotency keys and recorded responses, in MiB; 0 for a quarter of the memory. Beyond it, no responses are recorded, and requests with a new key are refused without being run. Counted as keys"`
	MemoryMB        int           `arg:"--memory-mb,env:CURRANTKNOT_MEMORY_MB" default:"284" placeholder:"MB" help:"memory that the process may use, in MiB, with what the kernel has received for it; its limits are parts of it"`
	MaxDescriptors  int           `arg:"--max-descriptors,env:CURRANTKNOT_MAX_DESCRIPTORS" default:"4100" placeholder:"N" help:"descriptors that the process may open; its limits are parts of it"`
	Insecure        bool          `arg:"--insecure,env:CURRANTKNOT_INSECURE" help:"accept instances without certificates and operators without tokens"`
}

// Platform holds the settings of the stand-in platform, which replaces the real platform in tests and demos.
type Platform struct {
	Log
	Listen           string        `arg:"--listen,env:CURRANTKNOT_STANDIN_LISTEN" default:"127.0.0.1:7400" placeholder:"ADDRESS" help:"address that serves the platform's API"`
	Document         string        `arg:"--document,env:CURRANTKNOT_STANDIN_DOCUMENT" placeholder:"FILE" help:"document whose instances become workers"`
	AppendsPerSecond int           `arg:"--appends-per-second,env:CURRANTKNOT_STANDIN_APPENDS" default:"400" placeholder:"N" help:"maximum number of appends per second to the log"`
	Retention        time.Duration `arg:"--retention,env:CURRANTKNOT_STANDIN_RETENTION" default:"24h" placeholder:"TIME" help:"time for which the log keeps entries"`
	ListLag          time.Duration `arg:"--list-lag,env:CURRANTKNOT_STANDIN_LIST_LAG" default:"500ms" placeholder:"TIME" help:"delay after which a change appears in the platform's lists"`
	ServiceTime      time.Duration `arg:"--service-time,env:CURRANTKNOT_STANDIN_SERVICE_TIME" default:"10ms" placeholder:"TIME" help:"mean service time of a request at an upstream"`
	Seed             uint64        `arg:"--seed,env:CURRANTKNOT_STANDIN_SEED" default:"1" placeholder:"N" help:"seed of the random number generators"`
}

// Jobs holds the settings of an instance that accepts and runs jobs on the users' platform. All other settings are in
// its settings file.
type Jobs struct {
	Log
	Limits
	File          string `arg:"--settings,env:CURRANTKNOT_SETTINGS" placeholder:"FILE" help:"settings file that the platform provides; read again when it changes"`
	MetricsListen string `arg:"--metrics-listen,env:CURRANTKNOT_METRICS_LISTEN" default:":9464" placeholder:"ADDRESS" help:"address that serves metrics in text format; empty to disable"`
	// JobMemoryMB bounds the jobs that are accepted.
	JobMemoryMB int `arg:"--job-memory-mb,env:CURRANTKNOT_JOB_MEMORY_MB" default:"0" placeholder:"MB" help:"memory of all jobs that are not finished, as their owner has them, in MiB; 0 for a sixth of the memory. Beyond it, submissions are refused with 503 and Retry-After; jobs of up to a 256th of it may take half as much again. Counted as jobs"`
	// BodyTimeout bounds the wait for a body.
	BodyTimeout time.Duration `arg:"--body-timeout,env:CURRANTKNOT_BODY_TIMEOUT" default:"10s" placeholder:"TIME" help:"time that the instance waits for the body of a submission in all. Counted as slow_body"`
	// WorkersRestart means that workers start again under their IDs.
	WorkersRestart bool `arg:"--workers-restart,env:CURRANTKNOT_WORKERS_RESTART" help:"workers start again under their IDs, so that a start without a response may be executed by the next process of its worker; without it an owner learns it from the first that does"`
}
