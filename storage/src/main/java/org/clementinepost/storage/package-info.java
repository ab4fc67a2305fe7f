/** The platform's table service and object store, as the fleet uses them. */
package org.clementinepost.storage;
