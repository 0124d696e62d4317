package notchpick.scheduling;

/** Makes job specifications for tests, which set only what they are about. */
public final class TestJobs {
    private TestJobs() {}

    /**
     * A job of class "c" and team "a" with one task of one core and 1 GB that may run on spot machines, uses image "i" of
     * 1 GB, and is expected to run for 10 s.
     */
    public static JobSpec.Builder job(String id) {
        return JobSpec.builder(id)
                .jobClass("c")
                .team("a")
                .demand(new Resources(1, 0, 1))
                .spot(true)
                .image("i")
                .imageGb(1)
                .estimateS(10);
    }
}
