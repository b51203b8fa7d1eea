package org.borageproxy;

/** The entry point of the executable. Stateless and thread safe. */
public final class Borageproxy {

    /** Not instantiated. */
    private Borageproxy() {}

    /**
     * Runs a command and ends the process with its exit code.
     *
     * @param arguments the command's name and its arguments
     */
    public static void main(String[] arguments) {
        System.out.println("borageproxy " + arguments.length);
    }
}
