package notchpick.simulation;

import java.util.OptionalLong;
import notchpick.transport.HttpCaller.Request;

/** Decides which calls, and which answers to them, arrive a second time. */
@FunctionalInterface
public interface CallRepeater {
    /** Repeats nothing. */
    CallRepeater NONE = (from, call) -> OptionalLong.empty();

    /** After how many milliseconds a copy is sent; empty if none is. */
    OptionalLong delayMs(String from, Request call);
}
