/**
 * Tests of whole deployments in simulated time: scenarios from text files, seeded runs over combinations of faults, and
 * the rules for what the layers of the sources may depend on.
 */
package notchpick;
