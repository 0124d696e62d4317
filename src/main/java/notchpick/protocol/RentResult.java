package notchpick.protocol;

import java.util.List;

/** The outcome of a request to rent machines. */
public sealed interface RentResult {
    /** These machines were rented, by this request or an earlier one of the same name; they may be fewer than asked. */
    record Rented(List<String> machines) implements RentResult {}

    /** The cloud has no capacity now; nothing was rented. */
    record NoCapacity() implements RentResult {}

    /** There was no usable response: machines may have been rented. */
    record Unknown() implements RentResult {}
}
