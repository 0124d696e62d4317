package notchpick.app;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import notchpick.protocol.CloudClient;
import notchpick.protocol.Json;
import notchpick.protocol.MachineTypesCodec;
import notchpick.protocol.StateStoreClient;
import notchpick.protocol.StateStoreClient.Entry;
import notchpick.protocol.StateStoreResult.Ok;
import notchpick.protocol.Transaction;
import notchpick.scheduling.MachineType;
import notchpick.storage.StateKeys;
import notchpick.transport.CallbackExecutor;
import notchpick.transport.Timer;

/**
 * Learns the machine types, and refreshes them while this controller leads. They are cached in the state store, so that
 * a controller which starts during an outage of the cloud can serve.
 */
final class MachineTypeRefresher {
    /** Receives the machine types. */
    @FunctionalInterface
    interface Listener {
        /** The cloud offers these types now. */
        void typesRefreshed(List<MachineType> types);
    }

    private static final long REFRESH_PERIOD_MS = 30_000;
    private static final long RETRY_MS = 500;

    private final StateStoreClient stateStore;
    private final CloudClient cloud;
    private final LocalLeader localLeader;
    private final int maxValueBytes;
    private final Timer timer;
    private final CallbackExecutor callbacks;
    private final Listener listener;
    private boolean typesKnown;

    /** @param maxValueBytes the largest value that the state store takes */
    MachineTypeRefresher(
            ControllerComponents components,
            int maxValueBytes,
            Timer timer,
            CallbackExecutor callbacks,
            Listener listener) {
        this.stateStore = components.stateStore();
        this.cloud = components.cloud();
        this.localLeader = components.localLeader();
        this.maxValueBytes = maxValueBytes;
        this.timer = timer;
        this.callbacks = callbacks;
        this.listener = listener;
    }

    /** Learns the types, and goes on refreshing them. */
    void refresh() {
        if (!typesKnown) {
            readCachedTypes();
        } else if (localLeader.current().isPresent()) {
            queryCloud(REFRESH_PERIOD_MS);
        } else {
            timer.schedule(REFRESH_PERIOD_MS, this::refresh);
        }
    }

    private void readCachedTypes() {
        stateStore.get(StateKeys.MACHINE_TYPES, callbacks.onLoop(result -> {
            if (!typesKnown && result instanceof Ok<Entry> ok) {
                MachineTypesCodec.decode(ok.value().value()).ifPresent(this::take);
            }
            if (typesKnown) {
                timer.schedule(REFRESH_PERIOD_MS, this::refresh);
            } else {
                queryCloud(RETRY_MS);
            }
        }));
    }

    private void queryCloud(long nextRefreshMs) {
        cloud.types(callbacks.onLoop(types -> {
            types.ifPresent(listed -> {
                take(listed);
                cache(listed);
            });
            timer.schedule(typesKnown ? nextRefreshMs : RETRY_MS, this::refresh);
        }));
    }

    private void take(List<MachineType> types) {
        typesKnown = true;
        listener.typesRefreshed(types);
    }

    private void cache(List<MachineType> types) {
        JsonNode value = MachineTypesCodec.encode(types);
        // A part of the list would make controllers reject jobs that fit a type left out.
        if (Json.bytes(value).length <= maxValueBytes) {
            stateStore.commit(new Transaction().put(StateKeys.MACHINE_TYPES, value), result -> {});
        }
    }
}
