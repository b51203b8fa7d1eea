/** What counts as an answer of a backend server: strict syntax, framing and the conditions of a success. */
package org.borageproxy.answer;
