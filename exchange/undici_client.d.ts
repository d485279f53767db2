/**
 * Types of the file of undici that holds its client.
 */
declare module 'undici/lib/dispatcher/client.js' {
  import { Client } from 'undici'
  export default Client
}
