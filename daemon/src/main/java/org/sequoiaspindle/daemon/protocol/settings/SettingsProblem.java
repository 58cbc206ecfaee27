package org.sequoiaspindle.daemon.protocol.settings;

/**
 * A problem in a settings file.
 *
 * @param line number of the line in the file, from 1
 * @param field path of the field, with dots between the names; empty for the whole file
 * @param message what is wrong and how to correct it
 */
public record SettingsProblem(int line, String field, String message) {

    @Override
    public String toString() {
        return "line " + line + ": " + (field.isEmpty() ? "" : field + ": ") + message;
    }
}
