package org.sequoiaspindle.core.protocol.json;

import io.vavr.collection.Vector;
import io.vavr.control.Option;

/** A value of a JSON document with the number of the line at which the value starts. */
sealed interface LocatedValue {

    int line();

    /** Returns the type of the value, for messages. */
    String describe();

    /** An object with its members in the order of the document, including duplicates. */
    record LocatedObject(int line, Vector<Member> members) implements LocatedValue {

        Option<Member> member(String name) {
            return members.find(member -> member.name().equals(name));
        }

        @Override
        public String describe() {
            return "an object";
        }
    }

    /** A member of an object. */
    record Member(int line, String name, LocatedValue value) {}

    /** An array. */
    record LocatedArray(int line, Vector<LocatedValue> items) implements LocatedValue {

        @Override
        public String describe() {
            return "an array";
        }
    }

    /** A string. */
    record LocatedString(int line, String value) implements LocatedValue {

        @Override
        public String describe() {
            return "a string";
        }
    }

    /** A number as it is written in the document. */
    record LocatedNumber(int line, String literal, boolean isInteger) implements LocatedValue {

        @Override
        public String describe() {
            return isInteger ? "a whole number" : "a fraction";
        }
    }

    /** A boolean. */
    record LocatedBoolean(int line, boolean value) implements LocatedValue {

        @Override
        public String describe() {
            return "a boolean";
        }
    }

    /** The value null. */
    record LocatedNull(int line) implements LocatedValue {

        @Override
        public String describe() {
            return "null";
        }
    }
}
