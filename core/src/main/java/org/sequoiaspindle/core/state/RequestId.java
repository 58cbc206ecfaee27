package org.sequoiaspindle.core.state;

/**
 * Identifier of one request, unique across instances.
 *
 * @param value string of at most 64 characters
 */
public record RequestId(String value) {

    @Override
    public String toString() {
        return value;
    }
}
