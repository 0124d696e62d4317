package notchpick.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import notchpick.scheduling.ServiceObjectives.Kind;
import notchpick.scheduling.ServiceObjectives.Objective;
import org.junit.jupiter.api.Test;

/** Which objectives of a job can still be met, and by when. */
class ServiceObjectivesTest {
    private static final ServiceObjectives OBJECTIVES = new ServiceObjectives(Map.of(
            "import", List.of(new Objective(Kind.FINISHED, 200), new Objective(Kind.FINISHED, 300)),
            "sweep", List.of(new Objective(Kind.STARTED, 200)),
            "credit", List.of(new Objective(Kind.DEADLINE, 1), new Objective(Kind.DEADLINE, 1.5))));

    private static JobSpec job(String jobClass, Double deadlineS) {
        return TestJobs.job("run-1")
                .jobClass(jobClass)
                .tasks(4)
                .estimateS(40)
                .deadlineS(deadlineS)
                .build();
    }

    @Test
    void appliesTheNextObjectiveAfterAMissedOne() {
        assertEquals(60, OBJECTIVES.slackS(job("import", null), 100, 40));
        assertEquals(90, OBJECTIVES.slackS(job("import", null), 170, 40));
        assertTrue(OBJECTIVES.slackS(job("import", null), 270, 40) < 0);
    }

    @Test
    void startObjectiveIgnoresTheRunTime() {
        assertEquals(10, OBJECTIVES.slackS(job("sweep", null), 190, 100));
    }

    @Test
    void deadlineObjectivesScaleTheJobsOwnDeadline() {
        assertEquals(30, OBJECTIVES.slackS(job("credit", 100.0), 30, 40));
        assertEquals(40, OBJECTIVES.slackS(job("credit", 100.0), 70, 40));
        assertEquals(30, OBJECTIVES.slackS(job("other", 100.0), 30, 40));
    }

    @Test
    void deadlineObjectivesDoNotApplyToJobsWithoutADeadline() {
        assertEquals(260, OBJECTIVES.slackS(job("credit", null), 100, 40));
        assertFalse(OBJECTIVES.isAttainable(job("credit", null), 100, 40));
        assertTrue(OBJECTIVES.isAttainable(job("credit", 100.0), 100, 40));
    }

    @Test
    void jobsWithoutObjectivesAreDueAfterAMultipleOfTheirRunTime() {
        assertEquals(260, OBJECTIVES.slackS(job("other", null), 100, 40));
    }

    @Test
    void measuresAgeFromReadinessAndDeadlineFromSubmission() {
        JobSpec blocked = job("credit", 100.0).withReadyAtMs(30_000);
        assertEquals(30, OBJECTIVES.slackS(blocked, blocked.ageS(30_000), 40));
        JobSpec waiting = job("import", null).withReadyAtMs(30_000);
        assertEquals(60, OBJECTIVES.slackS(waiting, waiting.ageS(130_000), 40));
    }

    @Test
    void ownDeadlineAppliesInAdditionToObjectivesOfTheClass() {
        assertEquals(10, OBJECTIVES.slackS(job("import", 150.0), 100, 40));
        assertEquals(60, OBJECTIVES.slackS(job("import", 700.0), 100, 40));
    }
}
