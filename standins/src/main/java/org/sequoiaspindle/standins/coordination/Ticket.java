package org.sequoiaspindle.standins.coordination;

/**
 * Claim of a call on a slot.
 *
 * @param number order of arrival
 * @param priority lower values run first
 * @param start runs when the call gets a slot
 */
public record Ticket(long number, int priority, Runnable start) {

    boolean precedes(Ticket other) {
        return priority != other.priority ? priority < other.priority : number < other.number;
    }
}
