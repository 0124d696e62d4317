package notchpick.simulation;

import notchpick.scheduling.MachineType;

/**
 * A machine that somebody pays for.
 *
 * @param rentedAtMs when it was rented, by the cloud's clock in milliseconds
 */
public record RentedMachine(String name, MachineType type, String zone, boolean spot, long rentedAtMs) {}
