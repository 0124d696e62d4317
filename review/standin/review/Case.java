package review;

import java.nio.file.Path;

/** Runs a case: exit status 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. */
abstract class Case {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int COULD_NOT_RUN = 2;
    private static final long MAX_MS = 116_000;

    /** Whether the disruption takes place. */
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

    /** Runs the case and returns its exit status. */
    abstract int run() throws Exception;

    static void main(Case test, String[] args) throws Exception {
        Record.open(Path.of(args[0], "record.txt"));
        Record.log("TROUBLE=%d", test.trouble ? 1 : 0);
        Thread guard = new Thread(() -> {
            Http.sleep(MAX_MS - Record.nowMs());
            Record.say("the time is up");
            System.exit(COULD_NOT_RUN);
        });
        guard.setDaemon(true);
        guard.start();
        int status;
        try {
            status = test.run();
        } catch (Exception e) {
            Record.say("the case could not run: %s", e);
            e.printStackTrace();
            status = COULD_NOT_RUN;
        }
        Record.say("exit status %d", status);
        System.exit(status);
    }
}
