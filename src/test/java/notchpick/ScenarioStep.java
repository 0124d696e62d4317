package notchpick;

/** One line of a scenario that says what happens when. */
record ScenarioStep(int line, double atS, String[] words) {}
