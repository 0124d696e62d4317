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

/** A client of the state store that stays within this controller's share of the store's request rate. */
public final class StateStoreClient {
    /** The maximum number of keys in one page of a list. */
    public static final int LIST_PAGE_SIZE = 1000;
    /** The store counts as unreachable after this many consecutive failures; a single one may be a lost packet. */
    private static final int UNREACHABLE_FAILURES = 3;

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

    /** @param requestsPerS this controller's share of the request rate that the state store serves */
    public StateStoreClient(
            StateStoreTransport transport, EventLoop loop, String target, long timeoutMs, double requestsPerS) {
        this.transport = transport;
        this.target = target;
        this.timeoutMs = timeoutMs;
        this.budget = new RequestBudget(loop, requestsPerS);
    }

    /**
     * A key and its value.
     *
     * @param version the store revision of the key's last change; used to make writes conditional
     * @param lease the lease to which the key is attached; 0 if none
     */
    public record Entry(String key, JsonNode value, long version, long lease) {}

    /** One page of the keys with a prefix, as of a revision. */
    public record Listing(List<Entry> entries, boolean hasMore, long revision) {}

    /**
     * A change of a key.
     *
     * @param value null if the key was deleted
     */
    public record Change(String key, JsonNode value, long version) {}

    /** The changes of keys with a prefix, up to a revision. */
    public record Changes(List<Change> log, long revision) {}

    /** Returns false until the store first answers, and after {@link #UNREACHABLE_FAILURES} consecutive failures. */
    public boolean isReachable() {
        return everAnswered && consecutiveFailures < UNREACHABLE_FAILURES;
    }

    /** Whether a request that can wait may be sent without using the budget reserved for requests that can't. */
    public boolean hasUnreservedBudget() {
        return budget.hasUnreserved();
    }

    /** Reads a key. */
    public void get(String key, Consumer<StateStoreResult<Entry>> then) {
        send(readCall(key), response -> then.accept(StateStoreResponses.result(response, StateStoreResponses::entry)));
    }

    /** Reads a key with a hedged request; for a key whose latest version is needed soon. */
    public void getHedged(String key, Consumer<StateStoreResult<Entry>> then) {
        send(
                readCall(key).asHedged(),
                response -> then.accept(StateStoreResponses.result(response, StateStoreResponses::entry)));
    }

    private Call readCall(String key) {
        return call(GET, "/keys/" + key, null);
    }

    /**
     * Reads one page of the keys with a prefix.
     *
     * @param after the last key of the previous page; null for the first page
     */
    public void list(String prefix, String after, int limit, Consumer<StateStoreResult<Listing>> then) {
        String path = "/keys?prefix=" + prefix + "&limit=" + limit + (after == null ? "" : "&since=" + after);
        send(
                call(GET, path, null),
                response -> then.accept(StateStoreResponses.result(response, StateStoreResponses::listing)));
    }

    /** Reads all keys with a prefix, page by page. The result has the revision of the first page. */
    public void listAll(String prefix, Consumer<StateStoreResult<Listing>> then) {
        list(prefix, null, LIST_PAGE_SIZE, result -> {
            if (result instanceof Ok<Listing> ok) {
                listRemaining(prefix, ok.value(), new ArrayList<>(), ok.value().revision(), then);
            } else {
                then.accept(result);
            }
        });
    }

    private void listRemaining(
            String prefix, Listing page, List<Entry> entries, long revision, Consumer<StateStoreResult<Listing>> then) {
        entries.addAll(page.entries());
        if (!page.hasMore() || page.entries().isEmpty()) {
            then.accept(new Ok<>(new Listing(entries, false, revision)));
            return;
        }
        String last = entries.get(entries.size() - 1).key();
        list(prefix, last, LIST_PAGE_SIZE, result -> {
            if (result instanceof Ok<Listing> ok) {
                listRemaining(prefix, ok.value(), entries, revision, then);
            } else {
                then.accept(result);
            }
        });
    }

    /** Commits a transaction; the result is the revision of its changes. */
    public void commit(Transaction transaction, Consumer<StateStoreResult<Long>> then) {
        send(
                call(POST, "/commit", transaction.body()),
                response -> then.accept(StateStoreResponses.commitResult(response)));
    }

    /**
     * Waits for changes after a revision. The result is {@link Missing} if the store no longer keeps the changes since
     * then.
     *
     * @param waitMs how long the store may hold the request while there are no changes
     */
    public void changes(String prefix, long since, long waitMs, Consumer<StateStoreResult<Changes>> then) {
        String path = "/changes?prefix=" + prefix + "&since=" + since + "&holdMs=" + waitMs;
        send(call(GET, path, null).withTimeout(waitMs + timeoutMs), response -> {
            if (response.status() == HttpStatus.GONE) {
                then.accept(new Missing<>());
            } else {
                then.accept(StateStoreResponses.result(response, StateStoreResponses::changes));
            }
        });
    }

    /** Requests a lease with this time to live. */
    public void grantLease(long ttlMs, Consumer<StateStoreResult<Long>> then) {
        byte[] body = Json.bytes(Json.object().put("lifeMs", ttlMs));
        send(
                call(POST, LEASES, body).asUrgent(),
                response -> then.accept(StateStoreResponses.result(response, StateStoreResponses::lease)));
    }

    /** Renews a lease with a hedged request. The result is {@link Missing} if the lease has ended. */
    public void renewLease(long lease, Consumer<StateStoreResult<Boolean>> then) {
        byte[] body = Json.bytes(Json.object());
        send(call(POST, LEASES + "/" + lease + "/touch", body).asUrgent().asHedged(), response -> {
            if (HttpStatus.isSuccess(response.status())) {
                then.accept(new Ok<>(true));
            } else {
                then.accept(StateStoreResponses.result(response, ignored -> true));
            }
        });
    }

    /** Ends a lease and deletes the keys attached to it; passes whether the lease has certainly ended. */
    public void endLease(long lease, Consumer<Boolean> then) {
        send(
                call(DELETE, LEASES + "/" + lease, null).asUrgent(),
                response -> then.accept(
                        HttpStatus.isSuccess(response.status()) || response.status() == HttpStatus.NOT_FOUND));
    }

    /**
     * A request to be sent.
     *
     * @param urgent whether the request is sent even if the budget is used up
     */
    private record Call(Request request, long timeoutMs, boolean urgent, boolean hedged) {
        /** Marks the call as urgent; for leases, which must not expire because other requests used up the budget. */
        Call asUrgent() {
            return new Call(request, timeoutMs, true, hedged);
        }

        Call asHedged() {
            return new Call(request, timeoutMs, urgent, true);
        }

        Call withTimeout(long newTimeoutMs) {
            return new Call(request, newTimeoutMs, urgent, hedged);
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

    /** Sends a request for a peer that can't reach the state store itself; it counts against this client's budget. */
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
