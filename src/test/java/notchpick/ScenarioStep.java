package notchpick;

import java.util.Map;

/**
 * One line of a scenario that starts with a time.
 *
 * @param line the number of the line in its file
 * @param atS when the step is carried out, in simulated seconds
 * @param words all words of the line: {@code at SECONDS VERB ARGUMENTS...}
 */
record ScenarioStep(int line, double atS, String[] words) {
    private static final int VERB_INDEX = 2;
    private static final int FIRST_ARGUMENT_INDEX = 3;

    String verb() {
        return words[VERB_INDEX];
    }

    /** The line, with single spaces between its words. */
    String text() {
        return String.join(" ", words);
    }

    boolean hasArgument(int index) {
        return FIRST_ARGUMENT_INDEX + index < words.length;
    }

    /**
     * The argument at this index, counted from 0.
     *
     * @throws IndexOutOfBoundsException if the line has no such argument
     */
    String argument(int index) {
        return words[FIRST_ARGUMENT_INDEX + index];
    }

    /** The first argument; empty if there is none. */
    String subject() {
        return hasArgument(0) ? argument(0) : "";
    }

    int intArgument(int index) {
        return Integer.parseInt(argument(index));
    }

    double doubleArgument(int index) {
        return Double.parseDouble(argument(index));
    }

    /** Converts an argument in seconds to milliseconds. */
    long millisArgument(int index) {
        return (long) (doubleArgument(index) * 1000);
    }

    /** Whether the argument is "on"; the only other value allowed is "off". */
    boolean isOn(int index) {
        return switch (argument(index)) {
            case "on" -> true;
            case "off" -> false;
            default -> throw new IllegalArgumentException("neither on nor off: " + argument(index));
        };
    }

    /** The options of a job, which start at this argument. */
    Map<String, String> options(int index) {
        return Submissions.options(words, FIRST_ARGUMENT_INDEX + index);
    }
}
