package notchpick.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import notchpick.protocol.StateStoreResult.Missing;
import notchpick.protocol.StateStoreResult.Ok;
import notchpick.transport.EventLoop;
import notchpick.transport.HttpCaller.Request;
import notchpick.transport.HttpCaller.Response;
import notchpick.transport.HttpStatus;

/** A client of the state store, which keeps within this controller's part of the request rate. */
public final class StateStoreClient {
    public static final int LIST_PAGE = 1000;
    /** One lost packet must not make the state store pass for unreachable. */
    private static final int FAILURES_TO_UNREACHABLE = 3;

    private static final String GET = "GET";
    private static final String POST = "POST";
    private static final String DELETE = "DELETE";
    private static final String LEASES = "/holds";

    private final StateStoreTransport transport;
    private final String target;
    private final long timeoutMs;
    private final RequestBudget budget;
    private boolean everAnswered;
    private int consecutiveFailures;

    /** @param requestsPerS this controller's part of the rate that the state store serves */
    public StateStoreClient(
            StateStoreTransport transport, EventLoop loop, String target, long timeoutMs, double requestsPerS) {
        this.transport = transport;
        this.target = target;
        this.timeoutMs = timeoutMs;
        this.budget = new RequestBudget(loop, requestsPerS);
    }

    /**
     * A key.
     *
     * @param version the revision of its last change
     * @param lease the lease that the key is attached to; 0: none
     */
    public record Entry(String key, JsonNode value, long version, long lease) {}

    /** Part of the keys with a prefix, as of a revision. */
    public record Listing(List<Entry> entries, boolean hasMore, long revision) {}

    /**
     * A change of a key.
     *
     * @param value null if the key was deleted
     */
    public record Change(String key, JsonNode value, long version) {}

    /** The changes below a prefix, up to a revision. */
    public record Changes(List<Change> log, long revision) {}

    /** Whether the state store answers, as far as this controller can tell. */
    public boolean isReachable() {
        return everAnswered && consecutiveFailures < FAILURES_TO_UNREACHABLE;
    }

    /** Whether a request that can wait may be sent without taking what is reserved for those that can't. */
    public boolean hasUnreservedBudget() {
        return budget.exceedsReserve();
    }

    // ---- keys ----------------------------------------------------------------------------------

    /** Reads a key. */
    public void get(String key, Consumer<StateStoreResult<Entry>> then) {
        send(readOf(key), response -> then.accept(StateStoreResponses.result(response, StateStoreResponses::entry)));
    }

    /** Reads a key by a hedged request: its newest version is needed soon. */
    public void getHedged(String key, Consumer<StateStoreResult<Entry>> then) {
        send(
                readOf(key).hedge(),
                response -> then.accept(StateStoreResponses.result(response, StateStoreResponses::entry)));
    }

    private Call readOf(String key) {
        return call(GET, "/keys/" + key, null);
    }

    /** Reads one page of the keys with a prefix, after a key if one is given. */
    public void list(String prefix, String after, int limit, Consumer<StateStoreResult<Listing>> then) {
        String path = "/keys?prefix=" + prefix + "&limit=" + limit + (after == null ? "" : "&since=" + after);
        send(
                call(GET, path, null),
                response -> then.accept(StateStoreResponses.result(response, StateStoreResponses::listing)));
    }

    /** Reads all pages of a prefix; the revision is that of the first page. */
    public void listAll(String prefix, Consumer<StateStoreResult<Listing>> then) {
        list(prefix, null, LIST_PAGE, result -> {
            if (result instanceof Ok<Listing> ok) {
                listRest(prefix, ok.value(), new ArrayList<>(), ok.value().revision(), then);
            } else {
                then.accept(result);
            }
        });
    }

    private void listRest(
            String prefix, Listing page, List<Entry> entries, long revision, Consumer<StateStoreResult<Listing>> then) {
        entries.addAll(page.entries());
        if (!page.hasMore() || page.entries().isEmpty()) {
            then.accept(new Ok<>(new Listing(entries, false, revision)));
            return;
        }
        String last = entries.get(entries.size() - 1).key();
        list(prefix, last, LIST_PAGE, result -> {
            if (result instanceof Ok<Listing> ok) {
                listRest(prefix, ok.value(), entries, revision, then);
            } else {
                then.accept(result);
            }
        });
    }

    /** Commits a transaction; returns the revision of its changes. */
    public void commit(Transaction transaction, Consumer<StateStoreResult<Long>> then) {
        send(
                call(POST, "/commit", transaction.body()),
                response -> then.accept(StateStoreResponses.committed(response)));
    }

    /** Waits for changes since a revision; {@link Missing} if the changes since then are not kept any more. */
    public void changes(String prefix, long since, long waitMs, Consumer<StateStoreResult<Changes>> then) {
        String path = "/changes?prefix=" + prefix + "&since=" + since + "&holdMs=" + waitMs;
        send(call(GET, path, null).within(waitMs + timeoutMs), response -> {
            if (response.status() == HttpStatus.GONE) {
                then.accept(new Missing<>());
            } else {
                then.accept(StateStoreResponses.result(response, StateStoreResponses::changes));
            }
        });
    }

    // ---- leases --------------------------------------------------------------------------------

    /** Requests a lease of this length. */
    public void grantLease(long lifeMs, Consumer<StateStoreResult<Long>> then) {
        byte[] body = Json.bytes(Json.object().put("lifeMs", lifeMs));
        send(
                call(POST, LEASES, body).urgently(),
                response -> then.accept(StateStoreResponses.result(response, StateStoreResponses::lease)));
    }

    /** Renews a lease by a hedged request; {@link Missing} if it has ended. */
    public void renewLease(long lease, Consumer<StateStoreResult<Boolean>> then) {
        byte[] body = Json.bytes(Json.object());
        send(call(POST, LEASES + "/" + lease + "/touch", body).urgently().hedge(), response -> {
            if (HttpStatus.isSuccess(response.status())) {
                then.accept(new Ok<>(true));
            } else {
                then.accept(StateStoreResponses.result(response, ignored -> true));
            }
        });
    }

    /** Ends a lease, and deletes the keys attached to it; returns whether it surely has ended. */
    public void endLease(long lease, Consumer<Boolean> then) {
        send(
                call(DELETE, LEASES + "/" + lease, null).urgently(),
                response -> then.accept(
                        HttpStatus.isSuccess(response.status()) || response.status() == HttpStatus.NOT_FOUND));
    }

    // ---- sending -------------------------------------------------------------------------------

    /**
     * A request to be sent.
     *
     * @param urgent whether it is sent even if the budget is used up
     */
    private record Call(Request request, long timeoutMs, boolean urgent, boolean hedged) {
        /** Leases must not lapse because other requests have used up the budget. */
        Call urgently() {
            return new Call(request, timeoutMs, true, hedged);
        }

        Call hedge() {
            return new Call(request, timeoutMs, urgent, true);
        }

        Call within(long ms) {
            return new Call(request, ms, urgent, hedged);
        }
    }

    private Call call(String method, String path, byte[] body) {
        return new Call(new Request(target, method, path, body), timeoutMs, false, false);
    }

    private void send(Call call, Consumer<Response> then) {
        if (!takeFromBudget(call.urgent())) {
            then.accept(tooManyRequests());
            return;
        }
        transport.send(call.request(), call.timeoutMs(), call.hedged(), response -> {
            if (response.isUnanswered() || response.status() == HttpStatus.SERVICE_UNAVAILABLE) {
                consecutiveFailures++;
            } else {
                everAnswered = true;
                consecutiveFailures = 0;
            }
            then.accept(response);
        });
    }

    /** Sends a request of a peer that can't reach the state store itself; it counts against this budget. */
    public void sendForPeer(String method, String path, byte[] body, long peerTimeoutMs, Consumer<Response> then) {
        if (takeFromBudget(path.startsWith(LEASES))) {
            transport.sendDirect(new Request(target, method, path, body), peerTimeoutMs, then);
        } else {
            then.accept(tooManyRequests());
        }
    }

    private boolean takeFromBudget(boolean urgent) {
        if (urgent) {
            budget.takeUrgent();
            return true;
        }
        return budget.tryTake();
    }

    private static Response tooManyRequests() {
        return Response.empty(HttpStatus.TOO_MANY_REQUESTS);
    }
}
