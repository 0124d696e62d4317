package notchpick.simulation;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import notchpick.protocol.Json;
import notchpick.simulation.StateStoreData.Change;
import notchpick.transport.HttpCaller.Response;
import notchpick.transport.Timer;

/** Open watches of the state store: reads of the change log that wait until there is a change. */
final class StateStoreWatches {
    /**
     * A read of the log.
     *
     * @param host the host that watches
     * @param sinceRevision only changes after this revision are returned
     * @param untilMs when the watch is answered even without a change
     */
    record Watch(
            String host, String prefix, long sinceRevision, long openedAtMs, long untilMs, Consumer<Response> reply) {
        boolean isLongPoll() {
            return untilMs > openedAtMs;
        }
    }

    private final LongSupplier clock;
    private final Timer timer;
    private final StateStoreData data;
    private final StateStoreFaults faults;
    private final List<Watch> open = new ArrayList<>();

    StateStoreWatches(LongSupplier clock, Timer timer, StateStoreData data, StateStoreFaults faults) {
        this.clock = clock;
        this.timer = timer;
        this.data = data;
        this.faults = faults;
    }

    /** Opens a watch, which is answered as soon as it is due. */
    void open(Watch watch) {
        open.add(watch);
        timer.schedule(watch.untilMs() - clock.getAsLong() + 1, this::answerDue);
        answerDue();
    }

    /** Answers watches that have a change or have timed out, but none during an outage and none of a refused host. */
    void answerDue() {
        if (faults.isOutage()) {
            return;
        }
        for (Watch watch : List.copyOf(open)) {
            if (faults.isRefused(watch.host()) || (faults.areWatchesHanging() && watch.isLongPoll())) {
                continue;
            }
            List<Change> changes = data.changesSince(watch.sinceRevision(), watch.prefix());
            if (!changes.isEmpty() || clock.getAsLong() >= watch.untilMs()) {
                open.remove(watch);
                watch.reply().accept(answer(changes));
            }
        }
    }

    private Response answer(List<Change> changes) {
        ObjectNode body = Json.object().put("ledgerNo", data.revision());
        ArrayNode list = body.putArray("log");
        for (Change change : changes) {
            ObjectNode node = list.addObject().put("entryNo", change.revision());
            if (change.value() == null) {
                node.put("delete", change.key());
            } else {
                node.put("put", change.key()).set("v", change.value());
            }
        }
        return Response.of(200, Json.bytes(body));
    }
}
