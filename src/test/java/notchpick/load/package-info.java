/** Measures what one real controller takes under the load of a fleet. */
package notchpick.load;
