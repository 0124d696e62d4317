package notchpick.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import notchpick.scheduling.Resources;
import notchpick.simulation.WorkerTask.State;

/** The tasks of one machine: carries out orders and simulates how tasks fetch their image, run, save and exit. */
final class WorkerTasks {
    /** Called when the tasks that a heartbeat lists have changed. */
    interface ChangeListener {
        void tasksChanged();
    }

    private static final long FETCH_MS = 1000;
    private static final long SAVE_MS = 1000;
    private static final long MIN_RUN_MS = 10;
    private static final long RUN_ON_FAULTY_MACHINE_MS = 200;

    private final RentedMachine machine;
    private final WorkerEnvironment environment;
    private final SimulatedTime time;
    private final InvariantChecker invariants;
    private final WorkerFaults faults;
    private final ChangeListener listener;
    private final Map<String, WorkerTask> tasks = new LinkedHashMap<>();

    WorkerTasks(RentedMachine machine, WorkerEnvironment environment, WorkerFaults faults, ChangeListener listener) {
        this.machine = machine;
        this.environment = environment;
        this.time = environment.time();
        this.invariants = environment.invariants();
        this.faults = faults;
        this.listener = listener;
    }

    /** Names of the tasks that are fetching, running or saving. */
    List<String> active() {
        return tasks.values().stream()
                .filter(task -> !task.hasExited())
                .map(WorkerTask::name)
                .toList();
    }

    /** All tasks, in the format of the heartbeat. */
    ArrayNode toHeartbeat() {
        ArrayNode list = JsonNodeFactory.instance.arrayNode();
        for (WorkerTask task : tasks.values()) {
            list.addObject()
                    .put("piece", task.name())
                    .put("tryNo", task.attempt())
                    .put("status", task.state().wireWord())
                    .put("exitCause", task.exitCause());
        }
        return list;
    }

    /** Drops all tasks without reporting an exit, as when the lease expires or the machine terminates. */
    void killAll() {
        for (WorkerTask task : tasks.values()) {
            if (task.isOnMachine()) {
                invariants.recordStop(machine.name(), task.name());
            }
        }
        tasks.clear();
    }

    /** Carries out one order: starts, stops or forgets an attempt. A repeated order has no effect. */
    void execute(JsonNode order) {
        String name = order.path("piece").asText();
        long attempt = order.path("tryNo").asLong();
        String key = name + "#" + attempt;
        WorkerTask task = tasks.get(key);
        switch (order.path("orderKind").asText()) {
            case "run" -> {
                if (task == null) {
                    long maxDelayMs = environment.timing().heartbeatPeriodMs() + SimulatedWorker.ANSWER_TIMEOUT_MS;
                    invariants.recordStartOrder(machine.name(), name, maxDelayMs);
                    fetch(key, new WorkerTask(name, attempt));
                }
            }
            case "halt" -> {
                if (task != null && !task.hasExited()) {
                    stop(task, order.path("windDownS").asDouble());
                }
            }
            default -> {
                if (task != null && task.hasExited()) {
                    tasks.remove(key);
                }
            }
        }
    }

    private void fetch(String key, WorkerTask task) {
        boolean isAlreadyActive = active().contains(task.name());
        Resources used = usedResources();
        tasks.put(key, task);
        Resources demand = environment.jobs().demand(task.job());
        if (demand == null) {
            exit(task, "unknown");
        } else if (isAlreadyActive) {
            exit(task, "in_use");
        } else if (!demand.fitsIn(machine.type().size().minus(used))) {
            exit(task, "full");
        } else {
            time.schedule(FETCH_MS, () -> run(key, task));
        }
    }

    private Resources usedResources() {
        Resources used = Resources.NONE;
        for (WorkerTask task : tasks.values()) {
            if (!task.hasExited()) {
                used = used.plus(environment.jobs().demand(task.job()));
            }
        }
        return used;
    }

    private boolean isActive(String key, WorkerTask task) {
        return !faults.isTerminated() && tasks.get(key) == task && !task.hasExited();
    }

    private void run(String key, WorkerTask task) {
        if (!isActive(key, task)) {
            return;
        }
        if (faults.isHanging()) {
            faults.defer(() -> run(key, task));
            return;
        }
        task.start(time.nowMs());
        invariants.recordStart(machine.name(), task.name(), machine.type().name(), machine.zone(), machine.spot());
        listener.tasksChanged();
        long runMs = faults.isFaulty() ? RUN_ON_FAULTY_MACHINE_MS : remainingRunMs(task.name());
        time.schedule(Math.max(MIN_RUN_MS, runMs), () -> complete(key, task));
    }

    private long remainingRunMs(String task) {
        return invariants.isComplete(task)
                ? 0
                : environment.jobs().runMs(task) - environment.checkpoints().getOrDefault(task, 0L);
    }

    private void complete(String key, WorkerTask task) {
        if (!isActive(key, task) || task.state() != State.RUNNING) {
            return;
        }
        if (faults.isHanging()) {
            faults.defer(() -> complete(key, task));
            return;
        }
        invariants.recordStop(machine.name(), task.name());
        if (faults.isFaulty() || environment.jobs().fails(task.job())) {
            exit(task, "error");
        } else {
            invariants.recordCompletion(task.name());
            exit(task, "done");
            environment.listener().taskCompleted(task.name());
        }
    }

    private void stop(WorkerTask task, double gracePeriodS) {
        boolean mayFinishSaving = gracePeriodS > 0;
        if (mayFinishSaving
                && task.state() == State.RUNNING
                && environment.jobs().savesCheckpoints(task.job())) {
            save(task);
        } else if (!mayFinishSaving || task.state() != State.SAVING) {
            if (task.isOnMachine()) {
                invariants.recordStop(machine.name(), task.name());
            }
            exit(task, "stopped");
        }
    }

    private void save(WorkerTask task) {
        task.startSaving();
        time.schedule(SAVE_MS, () -> {
            if (!faults.isTerminated() && tasks.containsValue(task) && task.state() == State.SAVING) {
                environment.checkpoints().merge(task.name(), time.nowMs() - task.startedAtMs(), Long::sum);
                invariants.recordStop(machine.name(), task.name());
                exit(task, "stopped");
            }
        });
        listener.tasksChanged();
    }

    private void exit(WorkerTask task, String cause) {
        task.exit(cause);
        listener.tasksChanged();
    }
}
