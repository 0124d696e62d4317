package notchpick.coordination.membership;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.function.Consumer;
import notchpick.coordination.Deployment;
import notchpick.protocol.Json;
import notchpick.protocol.StateStoreClient;
import notchpick.protocol.StateStoreClient.Entry;
import notchpick.protocol.StateStoreResult;
import notchpick.protocol.StateStoreResult.Conflict;
import notchpick.protocol.StateStoreResult.Missing;
import notchpick.protocol.StateStoreResult.Ok;
import notchpick.protocol.Transaction;
import notchpick.storage.StateKeys;
import notchpick.transport.EventLoop;

/**
 * One attempt of a controller to be elected: reads the term, requests a lease, and creates the leader key on that lease
 * in a transaction that also increments the term. The outcome is passed on once; nothing is sent afterwards.
 */
final class Campaign {
    /** How a campaign ended. */
    sealed interface Outcome {}

    /**
     * The controller has been elected.
     *
     * @param lease the lease that the leader key is attached to
     */
    record Won(ElectedTerm term, long lease) implements Outcome {}

    /**
     * The electing transaction failed, or its outcome is unknown. The caller must end the lease, because the leader key
     * may exist or still appear.
     *
     * @param term the term that the controller would have led
     * @param keyExists whether the leader key or the term has changed since they were read
     */
    record NotElected(long term, long lease, boolean keyExists) implements Outcome {}

    /** No electing transaction was sent, because the term could not be read or no lease was granted. */
    record NotSent() implements Outcome {}

    /** The state store holds records in the format of another version. */
    record IncompatibleFormat(int format) implements Outcome {}

    private static final String FORMAT_FIELD = "format";

    private final EventLoop loop;
    private final String node;
    private final StateStoreClient stateStore;
    private final long leaseMs;
    private final Consumer<Outcome> onOutcome;

    Campaign(EventLoop loop, String node, StateStoreClient stateStore, long leaseMs, Consumer<Outcome> onOutcome) {
        this.loop = loop;
        this.node = node;
        this.stateStore = stateStore;
        this.leaseMs = leaseMs;
        this.onOutcome = onOutcome;
    }

    /** Sends the first request; called once. */
    void start() {
        stateStore.get(StateKeys.TERM, this::handleTerm);
    }

    private void handleTerm(StateStoreResult<Entry> result) {
        if (result instanceof Ok<Entry> ok) {
            JsonNode record = ok.value().value();
            int format = record.path(FORMAT_FIELD).asInt(1);
            if (format == StateKeys.FORMAT) {
                requestLease(
                        record.path(LeaderKey.TERM_FIELD).asLong(), ok.value().version());
            } else {
                onOutcome.accept(new IncompatibleFormat(format));
            }
        } else if (result instanceof Missing<Entry>) {
            requestLease(0, 0);
        } else {
            onOutcome.accept(new NotSent());
        }
    }

    private void requestLease(long formerTerm, long termVersion) {
        // The lease counts from before its request, as the state store may grant it long before the answer arrives.
        long safelyHeldUntilMs = loop.nowMs() + Deployment.leaseSafelyHeldMs(leaseMs);
        stateStore.grantLease(leaseMs, result -> {
            if (result instanceof Ok<Long> granted) {
                commit(formerTerm + 1, termVersion, granted.value(), safelyHeldUntilMs);
            } else {
                onOutcome.accept(new NotSent());
            }
        });
    }

    /** Creates the leader key, provided that it does not exist and the term is unchanged since it was read. */
    private void commit(long term, long termVersion, long lease, long safelyHeldUntilMs) {
        Transaction transaction = new Transaction()
                .requireVersion(StateKeys.LEADER, 0)
                .requireVersion(StateKeys.TERM, termVersion)
                .put(StateKeys.LEADER, LeaderKey.encode(node, term), lease)
                .put(
                        StateKeys.TERM,
                        Json.object().put(LeaderKey.TERM_FIELD, term).put(FORMAT_FIELD, StateKeys.FORMAT));
        stateStore.commit(transaction, result -> {
            if (result instanceof Ok<Long> version) {
                onOutcome.accept(new Won(new ElectedTerm(term, version.value(), safelyHeldUntilMs), lease));
            } else {
                onOutcome.accept(new NotElected(term, lease, result instanceof Conflict<Long>));
            }
        });
    }
}
