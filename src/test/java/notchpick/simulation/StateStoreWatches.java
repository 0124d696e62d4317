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

/** Watches of the state store: reads of the log that wait until there is a change. */
final class StateStoreWatches {
    /**
     * A read of the log.
     *
     * @param host who watches
     * @param since the revision after which changes are wanted
     * @param until when it is answered even without a change
     */
    record Watch(String host, String prefix, long since, long openedAt, long until, Consumer<Response> reply) {
        boolean mayWait() {
            return until > openedAt;
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

    /** Answers the watch as soon as it is due. */
    void open(Watch watch) {
        open.add(watch);
        timer.schedule(watch.until() - clock.getAsLong() + 1, this::answerDue);
        answerDue();
    }

    /** Answers the watches that have a change or have run out; in an outage and for refused hosts all of them wait. */
    void answerDue() {
        if (faults.isOutage()) {
            return;
        }
        for (Watch watch : List.copyOf(open)) {
            if (faults.isRefused(watch.host()) || (faults.areWatchesHanging() && watch.mayWait())) {
                continue;
            }
            List<Change> changes = data.changesSince(watch.since(), watch.prefix());
            if (!changes.isEmpty() || clock.getAsLong() >= watch.until()) {
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
