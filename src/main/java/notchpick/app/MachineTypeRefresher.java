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
 * Loads the machine types that the cloud offers, and refreshes them while this controller leads. They are cached in the
 * state store, so that a controller that starts during an outage of the cloud can serve.
 */
final class MachineTypeRefresher {
    /** Receives the machine types. */
    @FunctionalInterface
    interface Listener {
        /** The machine types have been loaded or refreshed. */
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

    /** @param maxValueBytes the size of the largest value that the state store accepts */
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

    /** Loads or refreshes the machine types, and schedules the next refresh. */
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
                MachineTypesCodec.decode(ok.value().value()).ifPresent(this::updateTypes);
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
                updateTypes(listed);
                storeInCache(listed);
            });
            timer.schedule(typesKnown ? nextRefreshMs : RETRY_MS, this::refresh);
        }));
    }

    private void updateTypes(List<MachineType> types) {
        typesKnown = true;
        listener.typesRefreshed(types);
    }

    private void storeInCache(List<MachineType> types) {
        JsonNode value = MachineTypesCodec.encode(types);
        // A list that is too large is not cached, not even in part: jobs that fit a missing type would be rejected.
        if (Json.bytes(value).length <= maxValueBytes) {
            stateStore.commit(new Transaction().put(StateKeys.MACHINE_TYPES, value), result -> {});
        }
    }
}
