package notchpick.standin;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import notchpick.transport.Caller;
import notchpick.transport.Caller.Answer;
import notchpick.transport.Caller.Call;
import notchpick.transport.Handler;

/** Carries calls between hosts, which may be cut off from each other. */
public final class Network {
    private static final long LATENCY_MS = 2;

    /** How a cut treats packets: hold them and deliver them late, or reset the connection. */
    public enum Cut { HOLD, RESET }

    private final Simulation simulation;
    private final Map<String, Handler> hosts = new HashMap<>();
    private final Map<String, String> hostOf = new HashMap<>();
    private final Map<String, Cut> cuts = new HashMap<>();
    private final Map<String, List<Runnable>> heldBack = new HashMap<>();
    /** Hosts without power: what is sent to them gets no answer of any kind. */
    private final Set<String> dark = new HashSet<>();
    /** Hosts that stand still, and until when. What comes meanwhile waits in their sockets. */
    private final Map<String, Long> frozen = new HashMap<>();

    public Network(Simulation simulation) {
        this.simulation = simulation;
    }

    public void serve(String address, String host, Handler handler) {
        hosts.put(address, handler);
        hostOf.put(address, host);
    }

    public void vanish(String address) {
        hosts.remove(address);
    }

    public void dark(String host, boolean on) {
        if (on) {
            dark.add(host);
        } else {
            dark.remove(host);
        }
    }

    public void freeze(String host, long untilMs) {
        frozen.put(host, untilMs);
    }

    public void cut(String one, String other, Cut how) {
        cuts.put(pair(one, other), how);
    }

    public void heal(String one, String other) {
        String pair = pair(one, other);
        cuts.remove(pair);
        List<Runnable> late = heldBack.remove(pair);
        if (late != null) {
            late.forEach(packet -> simulation.after(LATENCY_MS, packet));
        }
    }

    private static String pair(String one, String other) {
        return one.compareTo(other) < 0 ? one + " " + other : other + " " + one;
    }

    private void carry(String from, String to, Runnable packet, Runnable reset) {
        if (dark.contains(to)) {
            return;
        }
        Cut cut = cuts.get(pair(from, to));
        if (cut == null) {
            simulation.after(Math.max(LATENCY_MS, frozen.getOrDefault(to, 0L) - simulation.now()), packet);
        } else if (cut == Cut.HOLD) {
            heldBack.computeIfAbsent(pair(from, to), p -> new ArrayList<>()).add(() -> carry(from, to, packet, reset));
        } else {
            simulation.after(LATENCY_MS, reset);
        }
    }

    /** Calls made by one host, as long as it lives. */
    public Caller from(String host, BooleanSupplier alive) {
        return (call, timeoutMs, then) -> {
            boolean[] over = {false};
            Consumer<Answer> once = answer -> {
                if (!over[0] && alive.getAsBoolean()) {
                    over[0] = true;
                    then.accept(answer);
                }
            };
            simulation.after(timeoutMs, () -> once.accept(Answer.NONE));
            String to = hostOf.get(call.target());
            Runnable reset = () -> once.accept(Answer.NONE);
            carry(host, to, () -> {
                Handler handler = hosts.get(call.target());
                if (handler == null) {
                    carry(to, host, reset, reset);
                    return;
                }
                // The state service refuses by who calls, so the caller's name goes along.
                handler.handle(new Call(host, call.method(), call.path(), call.body()),
                        answer -> carry(to, host, () -> once.accept(answer), reset));
            }, reset);
        };
    }
}
