package notchpick.coordination.leading;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import notchpick.bookkeeping.ClusterState;
import notchpick.bookkeeping.FencedWriter;
import notchpick.bookkeeping.FencedWriter.Conditions;
import notchpick.bookkeeping.Job;
import notchpick.bookkeeping.Machine;
import notchpick.bookkeeping.Machine.Life;
import notchpick.bookkeeping.PackedRecords;
import notchpick.bookkeeping.Records;
import notchpick.bookkeeping.Records.Hint;
import notchpick.bookkeeping.TaskAssignment;
import notchpick.bookkeeping.TaskAssignment.Phase;
import notchpick.coordination.Deployment;
import notchpick.protocol.StateApi.Entry;
import notchpick.protocol.StateApi.Listing;
import notchpick.transport.EventLoop;

/** Keeps durable which tasks may be on which machines; an order goes out only once its start is. */
final class TaskLaunchLog {
    private final EventLoop loop;
    private final ClusterState cluster;
    private final FencedWriter writer;
    private final Fleet fleet;
    private final Consumer<Machine> ready;
    private final PackedRecords<TaskAssignment> values;

    /**
     * @param ready hears of machines that have starts which may now be ordered
     * @param over hears of jobs that turned out to be over when tasks of them were to be started
     */
    TaskLaunchLog(
            EventLoop loop,
            Deployment deployment,
            ClusterState cluster,
            FencedWriter writer,
            Fleet fleet,
            Consumer<Machine> ready,
            Consumer<List<String>> over) {
        this.loop = loop;
        this.cluster = cluster;
        this.writer = writer;
        this.fleet = fleet;
        this.ready = ready;
        this.values = new PackedRecords<>(
                writer,
                Records.STARTS,
                new PackedRecords.Form<>(Records::startBytes, Records::starts),
                PackedRecords.Fill.EMPTIEST,
                deployment.valueBytes(),
                deployment.writesAtOnce(),
                this::durable);
        values.writtenOnlyIf(bindings -> new Conditions(
                openJobs(bindings),
                keys -> over.accept(keys.stream()
                        .map(key -> key.substring(Records.OPEN.length()))
                        .toList())));
    }

    /**
     * The descriptions of the jobs of which tasks are to be started, which a cancellation deletes. A start can so become
     * durable, and its order go out, only if that was committed before the job's cancellation was: however late the
     * leader hears of it.
     */
    private Map<String, Long> openJobs(List<TaskAssignment> bindings) {
        Map<String, Long> versions = new HashMap<>();
        for (TaskAssignment binding : bindings) {
            Job job = cluster.jobs.get(binding.spec.id());
            if (binding.phase == Phase.PLANNED && job != null) {
                versions.put(Records.OPEN + binding.spec.id(), job.version);
            }
        }
        return versions;
    }

    /** What a former leader may have sent: it blocks those tasks, and counts, until workers tell. */
    void load(Listing listing) {
        for (Entry entry : listing.entries()) {
            writer.known(entry.key(), entry.version());
            Set<TaskAssignment> loaded = new LinkedHashSet<>();
            for (Hint hint : Records.hints(entry.value())) {
                Machine machine = cluster.machines.computeIfAbsent(hint.machine(), name -> {
                    Machine found = new Machine(
                            name, hint.pool(), fleet.size(hint.pool().type()), loop.now());
                    found.life = Life.UP;
                    return found;
                });
                machine.hinted = true;
                Job job = cluster.jobs.get(hint.job().id());
                if (job == null || !job.done.get(hint.task())) {
                    loaded.add(cluster.bind(
                            job == null ? hint.job() : job.spec, hint.task(), machine, hint.attempt(), Phase.HINTED));
                }
            }
            values.loaded(entry.key(), loaded);
        }
    }

    void save(TaskAssignment binding) {
        values.save(binding);
    }

    /** The task surely is not on its machine any more. */
    void over(TaskAssignment binding) {
        values.drop(binding);
    }

    void tidy() {
        values.tidy();
    }

    private void durable(List<TaskAssignment> written) {
        Set<Machine> machines = new LinkedHashSet<>();
        for (TaskAssignment binding : written) {
            if (binding.phase == Phase.PLANNED && binding.machine.bindings.get(binding.taskName()) == binding) {
                binding.phase = Phase.READY;
                machines.add(binding.machine);
            }
        }
        machines.forEach(ready);
    }
}
