package reason

// Codes of requests that cannot be routed, are malformed, too long or without a valid key, or arrive
// before the balancer is ready (1xxx), that were refused or expired before they were sent (2xxx),
// and whose exchange with an endpoint failed (3xxx). Table describes each code.
const (
	NoTeam           Code = "LW1001"
	NoKind           Code = "LW1002"
	BadTimeout       Code = "LW1003"
	BadRequest       Code = "LW1004"
	NotReady         Code = "LW1005"
	BodyTooLarge     Code = "LW1006"
	KeyRefused       Code = "LW1007"
	KeyUnknown       Code = "LW1008"
	ConfigUnusable   Code = "LW1009"
	QueueFull        Code = "LW2001"
	TooLate          Code = "LW2002"
	Expired          Code = "LW2003"
	NoEndpoint       Code = "LW2004"
	CallerLeft       Code = "LW2005"
	Stopping         Code = "LW2006"
	RetryExhausted   Code = "LW2007"
	DeadlineWaiting  Code = "LW2008"
	Evacuated        Code = "LW2009"
	Quarantined      Code = "LW2010"
	QuotaExceeded    Code = "LW2011"
	EndpointsLimited Code = "LW2012"
	OutOfRegion      Code = "LW2013"

	EndpointsBackingOff Code = "LW2014"
	Displaced           Code = "LW2015"
	NoPlace             Code = "LW2016"
	NoPath              Code = "LW2017"
	EndpointsWarmingUp  Code = "LW2018"
	DialFailed          Code = "LW3001"
	NothingWritten      Code = "LW3002"
	EndpointRefused     Code = "LW3003"
	ResponseUnknown     Code = "LW3004"
	ResponseTimeout     Code = "LW3005"
	ResponseMismatched  Code = "LW3006"
	UpgradeFailed       Code = "LW3007"
	EndpointReplaced    Code = "LW3008"
	ResponseInvalid     Code = "LW3009"
	ResponseTruncated   Code = "LW3010"
	Withdrawn           Code = "LW3011"
	StopEnded           Code = "LW3012"
	ResponseCut         Code = "LW3013"
)

// firstRelease is the version of the first release.
const firstRelease = "0.1.0"

// Table holds the documentation of each code, in the order of the codes.
var Table = []Doc{
	{NoTeam, "no such team", "The request's host and path match no team of any tenant in force.", "Check the Host header and the path; 'lotusctl check' prints what each team matches.", 404, firstRelease, Info},
	{NoKind, "no such request kind", "A team matched, but none of its request kinds has this method and path.", "Add the kind to the team's template, or correct the caller.", 404, firstRelease, Info},
	{BadTimeout, "unusable Lotuswing-Timeout", "The header is not a positive Go duration of at most 24h.", "Correct the caller; for example 'Lotuswing-Timeout: 250ms'.", 400, firstRelease, Info},
	{BadRequest, "malformed request", "The request has a shape that different parsers read differently, so it was not forwarded.", "Correct the caller; the message names the field.", 400, firstRelease, Info},
	{NotReady, "balancer not ready", "The balancer has no configuration yet: neither the store nor a peer has given it one.", "Check the store and the links to peers; see OPERATIONS.md, 'A balancer does not become ready'.", 503, firstRelease, Urgent},
	{BodyTooLarge, "body above the limit", "The request's body is longer than the limit of the settings or of the shared configuration. Nothing was sent to an endpoint.", "Send a shorter body, or raise the limit.", 413, "0.2.0", Info},
	{KeyRefused, "no team has this key", "The route needs a key, and the request carries none, something that is no key, or one that no team holds any more. Nothing was sent to an endpoint.", "Correct the caller: 'Authorization: Bearer KEY', once. 'lotusctl teams' shows how many keys a team has; the log line 'ended' names a salted digest of the key, never the key.", 401, "0.3.0", Info},
	{KeyUnknown, "key not known yet", "No team holds the key in the configuration in force here, but it may have been added a moment ago: whether that is so is certain only after the time in which changes reach every balancer. Nothing was sent to an endpoint.", "Nothing: the caller comes back after Retry-After and is served, or refused for good. If it lasts, this balancer hears of no changes; see OPERATIONS.md, 'A change does not come into force'.", 503, "0.3.0", Info},
	{ConfigUnusable, "configured in a way that cannot be applied", "The route of the request, the part of its split or the team of its key is configured in a way that this balancer cannot apply. The rest of the version is in force. Nothing was sent to an endpoint.", "Correct the configuration: the log line 'part of the configuration cannot be used' names the part and its fault, and 'lotusctl store' shows how many there are. Callers are served once the corrected version is in force.", 503, "0.3.0", Urgent},
	{QueueFull, "waiting room full", "The service's queue for this class holds as many requests as its limit allows.", "Expected above capacity. If it lasts, add endpoints or lower the callers' rate.", 503, firstRelease, Warning},
	{TooLate, "cannot be served in time", "The estimated wait and service time exceed the request's patience or deadline, so it was refused at once.", "Expected above capacity. The caller should come back after Retry-After.", 503, firstRelease, Warning},
	{Expired, "patience ended while waiting", "The request waited as long as its patience allowed and no slot became free.", "Look at 'lotusctl status' for endpoints that are slow or ejected.", 503, firstRelease, Warning},
	{NoEndpoint, "no usable endpoint", "Every endpoint of the service is leaving, ejected or unknown.", "Check the list of VMs and the service's endpoints.", 503, firstRelease, Urgent},
	{CallerLeft, "caller left while waiting", "The caller closed its connection or cancelled before the request was sent.", "Nothing; callers that often leave need a shorter patience.", 499, firstRelease, Info},
	{Stopping, "balancer is stopping", "The balancer is in a planned stop, and the time that is left of it is less than the request may take. It was refused at once and not sent.", "Nothing: the caller comes back at once and reaches another balancer. 'lotusctl stops' shows the stop; if its balancers are killed early, raise 'stop.grace' to the time after which that happens.", 503, firstRelease, Info},
	{RetryExhausted, "retries used up", "Endpoints refused the request and the retry budget or the attempt limit is spent.", "Look for endpoints that reject everything; they are ejected on their own.", 503, firstRelease, Warning},
	{DeadlineWaiting, "deadline passed before sending", "The request's whole time ran out while it waited for a slot or a connection. Nothing was sent.", "Give the request more time or the service more endpoints.", 504, firstRelease, Warning},
	{Evacuated, "all endpoints are in zones that are being emptied", "An operator empties each availability zone in which the service has endpoints. The request was not sent.", "Take one of the zones back, or add endpoints in another; 'lotusctl status' names the zones.", 503, "0.2.0", Urgent},
	{Quarantined, "endpoints ended under this request", "Endpoints ended one after the other while they ran this request, told from others by caller, method, host, path, query and body, and none has run it to an end since: it is refused, or another balancer tries it just now. This try was not sent.", "'lotusctl quarantine list' shows the evidence. Find out at the endpoints why they end; then release the request with 'lotusctl quarantine release', or wait: a refusal ends ten minutes after the last end.", 503, "0.2.0", Urgent},
	{QuotaExceeded, "the team's quota is used up", "The team has sent as many requests through all balancers together as its rate and burst allow. This one was not sent.", "Expected while the team sends more than its quota; the caller should come back after Retry-After. 'lotusctl quota' shows what is left and who takes it.", 429, "0.3.0", Info},
	{EndpointsLimited, "all endpoints are at the limits that they name", "Each endpoint of the service that the request might go to names in its answers how many requests a second it takes from all balancers together, and they have got as many. The request was not sent.", "The caller should come back after Retry-After, when there is room. 'lotusctl limits' shows the endpoints and what they name; find out why they are in need, or add endpoints.", 503, "0.3.0", Warning},
	{OutOfRegion, "no endpoint in a region where the request may be served", "The request's route or team, or both together, name the regions in which it may be served, and the service has no endpoint in any of them. The request was not sent.", "Add endpoints there, or change the regions of the route or the team; the setting 'regions' says in which region each availability zone lies.", 503, "0.3.0", Urgent},
	{EndpointsBackingOff, "all endpoints want no requests for a while", "Each endpoint of the service that the request might go to has refused requests of this balancer with 503 and Retry-After, and that time has not passed, or has just passed and the endpoint gets requests again little by little. The request was not sent.", "The caller should come back after Retry-After, when the first endpoint takes requests again. 'lotusctl said' shows which endpoints want none and until when; find out why they refuse, or add endpoints.", 503, "0.3.0", Warning},
	{Displaced, "displaced by a more urgent request", "The request waited for an endpoint, and more urgent ones came: its place can no longer lead to a response in time, or was needed for them. It was not sent.", "Expected above capacity; the caller should come back after Retry-After. 'lotusctl queues' shows who waits. If it lasts, add endpoints.", 503, "0.3.0", Warning},
	{NoPlace, "no place in the queue leads to a response in time", "No endpoint had a free slot, and by the rate at which slots become free the request would not have been answered in time; or it could not be answered in time any more when it arrived. It was refused at once and not sent.", "Expected above capacity; the caller should come back after Retry-After, when capacity is expected. 'lotusctl queues' shows the forecast. If it lasts, add endpoints.", 503, "0.3.0", Warning},
	{NoPath, "no endpoint of the service is reached", "For some time no endpoint of the service has responded to this balancer, neither directly nor over a connection that another balancer opened. The request was refused at once and not sent; one now and then is let through to find out whether that has changed.", "The caller should come back after Retry-After; another balancer may serve it. 'lotusctl paths' shows what this balancer reaches. Check the VM's network, and whether the endpoints run.", 503, "0.3.0", Urgent},
	{EndpointsWarmingUp, "all endpoints are warming up", "Each endpoint of the service that the request might go to is warming up and has got as many requests as it takes, from all balancers together, or no balancer is known to own its availability zone. The request was not sent.", "The caller should come back after Retry-After. 'lotusctl warmups' shows what is granted. If it lasts longer than a warm-up, find out why endpoints restart, or why a zone has no relay.", 503, "0.3.0", Warning},
	{DialFailed, "no connection to the endpoint", "No connection could be opened, so nothing was sent.", "Check the endpoint's VM.", 503, firstRelease, Warning},
	{NothingWritten, "connection failed before anything was sent", "The connection failed before the first byte of the request was written.", "Nothing; it is retried when time allows.", 503, firstRelease, Info},
	{EndpointRefused, "the endpoint refused the request", "The endpoint answered that it did not run the request.", "Expected when endpoints shed load or drain.", 503, firstRelease, Info},
	{ResponseUnknown, "the endpoint's answer is unknown", "The request was at least partly sent and the connection failed before an answer arrived.", "For kinds that are not repeatable, find out at the endpoint whether the request ran before sending it again.", 502, firstRelease, Warning},
	{ResponseTimeout, "no answer before the deadline", "The request was sent and its deadline passed before an answer arrived; it was cancelled.", "As for LW3004; look for slow endpoints in 'lotusctl status'.", 504, firstRelease, Warning},
	{ResponseMismatched, "the answer belongs to another request", "The answer carried the identity of another request and was discarded with its connection.", "The endpoint mixes up answers: take it out and report the fault.", 502, firstRelease, Urgent},
	{UpgradeFailed, "the session could not be upgraded", "The endpoint agreed to switch protocols but the caller's connection could not be taken over.", "Check that the caller speaks HTTP/1.1 on this connection.", 502, firstRelease, Warning},
	{EndpointReplaced, "another endpoint has the address", "The request named the incarnation of the endpoint that it was meant for, and another one answered at the address. It did not run the request.", "Nothing; the endpoint is marked as gone and the request goes elsewhere.", 503, "0.2.0", Info},
	{ResponseInvalid, "the answer is not the endpoint's own", "The answer lacks the signature of an endpoint, its body is encoded or it switches protocols though nobody asked for that, or its status or header is not valid HTTP. It was discarded with its connection.", "As for LW3004; if it lasts, take the endpoint out and report the fault.", 502, "0.2.0", Warning},
	{ResponseTruncated, "the answer was cut short", "The endpoint began an answer and the connection failed before its end. Nothing of it was passed on.", "As for LW3004; look for endpoints that crash.", 502, "0.2.0", Warning},
	{Withdrawn, "the endpoint wants no more requests", "The endpoint said that it leaves, or wants no requests for a while, after it was chosen and before the request was written. Nothing was sent.", "Nothing: another endpoint is chosen. 'lotusctl said' shows what endpoints say of themselves.", 503, "0.3.0", Info},
	{StopEnded, "the balancer's stop ended before the response", "The balancer is in a planned stop whose time is over, and the endpoint was still working on the request. It may have run.", "As for LW3004. If it happens often, give 'stop.limit' and 'stop.grace' the time that requests take; the log line 'given up by a planned stop' names the endpoint.", 502, "0.3.0", Warning},
	{ResponseCut, "the answer was not over by the deadline", "The endpoint began an answer, and the deadline of the request passed before the caller had the whole of it. The caller's connection was closed in the middle of the answer, so that it does not look complete.", "The message says whether the endpoint or the caller held it up. Look for endpoints that fall silent or are slow in 'lotusctl status'; give kinds with long answers a longer timeout.", 504, "0.3.0", Warning},
}
