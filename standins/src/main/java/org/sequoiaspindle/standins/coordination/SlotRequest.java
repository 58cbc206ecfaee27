package org.sequoiaspindle.standins.coordination;

/**
 * Request for a slot, made by a call.
 *
 * @param arrivalNumber position in the order of arrival
 * @param priority calls with lower values run first
 * @param onStart runs when the call gets a slot
 */
public record SlotRequest(long arrivalNumber, int priority, Runnable onStart) {

    boolean precedes(SlotRequest other) {
        return priority != other.priority
                ? priority < other.priority
                : arrivalNumber < other.arrivalNumber;
    }
}
