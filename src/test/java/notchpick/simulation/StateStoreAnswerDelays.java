package notchpick.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.function.Consumer;
import notchpick.protocol.Json;
import notchpick.storage.StateKeys;
import notchpick.transport.HttpCaller.Request;
import notchpick.transport.HttpCaller.Response;
import notchpick.transport.HttpStatus;
import notchpick.transport.Timer;

/** Delays single answers of the state store. Requests are executed when they arrive; only their answers are late. */
final class StateStoreAnswerDelays {
    /** The kinds of requests whose answers can be delayed. */
    enum RequestKind {
        READ,
        LIST,
        WATCH,
        COMMIT,
        GRANT,
        RENEW,
        END;

        /** The kind with this name in scenario files: the constant's name in lower case. */
        static RequestKind ofScenarioWord(String word) {
            return valueOf(word.toUpperCase(Locale.ROOT));
        }

        private static RequestKind of(Request request) {
            String path = request.path().split("\\?", 2)[0];
            return switch (path) {
                case "/changes" -> WATCH;
                case "/commit" -> COMMIT;
                case "/keys" -> LIST;
                case "/holds" -> GRANT;
                default -> {
                    if (path.startsWith("/keys/")) {
                        yield READ;
                    }
                    yield request.method().equals("DELETE") ? END : RENEW;
                }
            };
        }
    }

    /** Delays the next answers to requests of one kind. */
    private static final class Rule {
        private final RequestKind kind;
        /** A text that the path or the body of the request contains, such as a key; may be empty. */
        private final String text;

        private final long delayMs;
        private int answersLeft;

        Rule(RequestKind kind, String text, long delayMs, int answers) {
            this.kind = kind;
            this.text = text;
            this.delayMs = delayMs;
            this.answersLeft = answers;
        }

        boolean matches(Request request) {
            return kind == RequestKind.of(request) && contentOf(request).contains(text);
        }
    }

    private static final int RANDOM_SEED = 13;

    private final Timer timer;
    /** Decides which answers are late; seeded, so that runs can be repeated. */
    private final Random random = new Random(RANDOM_SEED);

    private final List<Rule> rules = new ArrayList<>();
    private double lateShare;
    private int maxDelayMs;
    private int lateElectionAnswers;
    /** Whether answers to watches of the leader key are held until the next election. */
    private boolean holdingWatches;
    /** How long after the election the held answers are sent. */
    private long heldForMs;

    private final List<Runnable> heldAnswers = new ArrayList<>();

    StateStoreAnswerDelays(Timer timer) {
        this.timer = timer;
    }

    /** Delays the next {@code answers} answers to requests of this kind whose path or body contains the text. */
    void delayNext(RequestKind kind, String text, long delayMs, int answers) {
        rules.add(new Rule(kind, text, delayMs, answers));
    }

    /** Delays this share of all answers, each by a random time up to the maximum; a share of 0 ends this. */
    void delayShare(double share, int maxMs) {
        lateShare = share;
        maxDelayMs = maxMs;
    }

    /** Holds the answers to watches of the leader key, and sends them this long after the next election. */
    void holdWatchesUntilElection(long afterElectionMs) {
        holdingWatches = true;
        heldForMs = afterElectionMs;
    }

    /** How many answers were late that told a controller that it had been elected. */
    int lateElectionAnswers() {
        return lateElectionAnswers;
    }

    /** Returns a consumer that passes the answer to the request on, late if it is to be delayed. */
    Consumer<Response> delaying(Request request, Consumer<Response> reply) {
        long delayMs = delayMs(request);
        boolean election = isElection(request);
        boolean leaderWatch =
                RequestKind.of(request) == RequestKind.WATCH && request.path().contains("prefix=" + StateKeys.LEADER);
        if (delayMs == 0 && !election && !leaderWatch) {
            return reply;
        }
        return answer -> {
            if (leaderWatch && holdingWatches) {
                heldAnswers.add(() -> reply.accept(answer));
                return;
            }
            if (election && answer.status() == HttpStatus.OK) {
                lateElectionAnswers += delayMs > 0 ? 1 : 0;
                releaseHeldAnswers();
            }
            pass(answer, delayMs, reply);
        };
    }

    private void pass(Response answer, long delayMs, Consumer<Response> reply) {
        if (delayMs == 0) {
            reply.accept(answer);
        } else {
            timer.schedule(delayMs, () -> reply.accept(answer));
        }
    }

    private void releaseHeldAnswers() {
        holdingWatches = false;
        heldAnswers.forEach(answer -> timer.schedule(heldForMs, answer));
        heldAnswers.clear();
    }

    private long delayMs(Request request) {
        Iterator<Rule> candidates = rules.iterator();
        while (candidates.hasNext()) {
            Rule rule = candidates.next();
            if (rule.matches(request)) {
                rule.answersLeft--;
                if (rule.answersLeft == 0) {
                    candidates.remove();
                }
                return rule.delayMs;
            }
        }
        return lateShare > 0 && random.nextDouble() < lateShare ? 1 + random.nextInt(maxDelayMs) : 0;
    }

    private static String contentOf(Request request) {
        return request.path() + (request.body() == null ? "" : Json.object(request.body()));
    }

    private static boolean isElection(Request request) {
        if (RequestKind.of(request) != RequestKind.COMMIT) {
            return false;
        }
        for (JsonNode write : Json.object(request.body()).path("writes")) {
            if (write.path("put").asText().equals(StateKeys.LEADER)) {
                return true;
            }
        }
        return false;
    }
}
