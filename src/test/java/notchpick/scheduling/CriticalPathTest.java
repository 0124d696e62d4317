package notchpick.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import notchpick.scheduling.JobSpec.Priority;
import org.junit.jupiter.api.Test;

/** Effective priorities and deadlines; incremental changes are compared with a rebuild on random graphs. */
class CriticalPathTest {
    private static final List<Priority> PRIORITIES = List.of(Priority.values());
    private final CriticalPath path = new CriticalPath();
    private final Map<String, JobSpec> jobs = new HashMap<>();

    private Set<String> add(String id, Priority priority, Double deadlineS, double stageS, String... dependencies) {
        JobSpec spec = TestJobs.job(id)
                .priority(priority)
                .estimateS(20)
                .deadlineS(deadlineS)
                .submittedAtMs(1000)
                .dependencies(List.of(dependencies))
                .build();
        jobs.put(id, spec);
        return path.add(spec, stageS);
    }

    private JobSpec effective(String id) {
        return path.effective(jobs.get(id));
    }

    @Test
    void appliesTheTightestPathToTheDeadline() {
        add("root", Priority.LOW, null, 10);
        add("long", Priority.LOW, null, 30, "root");
        add("short", Priority.NORMAL, null, 5, "root");
        assertEquals(Set.of("root", "long", "short"), add("last", Priority.HIGH, 100.0, 8, "long", "short"));
        assertEquals(100, effective("last").deadlineS());
        assertEquals(92, effective("long").deadlineS());
        assertEquals(92, effective("short").deadlineS());
        assertEquals(62, effective("root").deadlineS());
        assertEquals(Priority.HIGH, effective("root").priority());
    }

    @Test
    void removedJobNoLongerAffectsItsDependencies() {
        add("root", Priority.LOW, 500.0, 10);
        add("one", Priority.PRODUCTION, 50.0, 8, "root");
        add("other", Priority.NORMAL, 300.0, 8, "root");
        assertEquals(42, effective("root").deadlineS());
        assertEquals(Set.of("root"), path.remove("one"));
        assertEquals(292, effective("root").deadlineS());
        assertEquals(Priority.NORMAL, effective("root").priority());
        path.remove("other");
        assertEquals(500, effective("root").deadlineS());
        assertEquals(Priority.LOW, effective("root").priority());
    }

    @Test
    void inheritsNoDeadlineFromJobsWithoutOne() {
        add("root", Priority.LOW, null, 10);
        assertEquals(Set.of(), add("next", Priority.LOW, null, 10, "root"));
        assertNull(effective("root").deadlineS());
    }

    @Test
    void dependencyAddedAfterItsDependentInheritsItsValues() {
        add("last", Priority.HIGH, 100.0, 8, "root");
        assertEquals(Set.of("root"), add("root", Priority.LOW, null, 10));
        assertEquals(92, effective("root").deadlineS());
    }

    @Test
    void incrementalChangesMatchARebuild() {
        Random random = new Random(7);
        for (int round = 0; round < 50; round++) {
            CriticalPath incremental = new CriticalPath();
            List<JobSpec> open = new ArrayList<>();
            for (int i = 0; i < 60; i++) {
                if (open.size() > 5 && random.nextInt(4) == 0) {
                    incremental.remove(open.remove(random.nextInt(open.size())).id());
                    continue;
                }
                List<String> dependencies = new ArrayList<>();
                for (JobSpec other : open) {
                    if (random.nextInt(6) == 0) {
                        dependencies.add(other.id());
                    }
                }
                JobSpec spec = TestJobs.job("j" + i)
                        .priority(PRIORITIES.get(random.nextInt(4)))
                        .estimateS(20)
                        .deadlineS(random.nextBoolean() ? 100.0 + random.nextInt(500) : null)
                        .dependencies(dependencies)
                        .build();
                open.add(spec);
                incremental.add(spec, 10);
            }
            CriticalPath rebuilt = new CriticalPath();
            open.forEach(spec -> rebuilt.add(spec, 10));
            for (JobSpec spec : open) {
                assertEquals(rebuilt.effective(spec), incremental.effective(spec));
            }
        }
    }

    @Test
    void changesOnlyAffectedJobs() {
        add("j0", Priority.LOW, null, 1);
        for (int i = 1; i < 500; i++) {
            add("j" + i, Priority.LOW, null, 1, "j" + (i - 1));
        }
        assertEquals(500, add("end", Priority.HIGH, 1000.0, 1, "j499").size());
        // A less urgent second dependent changes no job of the chain.
        Collection<String> changed = add("other", Priority.NORMAL, 2000.0, 1, "j499");
        assertEquals(Set.of(), changed);
    }
}
