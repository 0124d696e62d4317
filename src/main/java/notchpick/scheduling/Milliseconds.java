package notchpick.scheduling;

/** Conversion between the seconds of settings and estimates and the milliseconds of clocks and timers. */
public final class Milliseconds {
    /** How many milliseconds a second has; a decimal number, lest divisions round down. */
    public static final double PER_SECOND = 1000;

    private Milliseconds() {}
}
