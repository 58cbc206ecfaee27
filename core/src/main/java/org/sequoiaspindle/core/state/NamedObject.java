package org.sequoiaspindle.core.state;

/** An object of the configuration that is identified by its name. */
public interface NamedObject {

    /** Returns the name, which is unique among the objects of the same kind. */
    String name();
}
