package notchpick.scheduling;

/** Conversion between the seconds of settings and estimates and the milliseconds of clocks and timers. */
public final class Milliseconds {
    /** Milliseconds in one second; a {@code double}, so that divisions by it don't round down. */
    public static final double PER_SECOND = 1000;

    private Milliseconds() {}
}
