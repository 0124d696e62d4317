package notchpick.simulation;

import notchpick.scheduling.MachineType;

/**
 * A machine that is rented from the cloud, booted or not.
 *
 * @param rentedAtMs when the machine was rented, by the cloud's clock
 */
public record RentedMachine(String name, MachineType type, String zone, boolean spot, long rentedAtMs) {}
