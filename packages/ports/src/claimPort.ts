import { mkdirSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'

/** @internal */
export interface ClaimOptions {
  /** Folder of the claims, one file for each port, which holds the id of the process. */
  readonly folder?: string
}

const DEFAULT_FOLDER = join(tmpdir(), 'lavenderturn-ports')

/**
 * Claims a port for this process. A port is free between the moment at which it was found and that at which a child
 * process binds it, or while that child restarts; other test processes must not choose it then.
 *
 * @param port - the port
 * @param options - the folder of the claims
 * @returns whether no other running process has claimed it
 * @internal
 */
export function claimPort (port: number, { folder = DEFAULT_FOLDER }: ClaimOptions = {}): boolean {
  mkdirSync(folder, { recursive: true })
  const path = join(folder, String(port))
  if (tryCreate(path)) return true
  if (isRunning(readOwner(path))) return false
  rmSync(path, { force: true })
  return tryCreate(path)
}

function tryCreate (path: string): boolean {
  try {
    writeFileSync(path, String(process.pid), { flag: 'wx' })
    return true
  } catch {
    // Another process has created the file.
    return false
  }
}

/** @returns the id of the process, or 0 if its claim is gone or not written yet */
function readOwner (path: string): number {
  try {
    return Number(readFileSync(path, 'utf8'))
  } catch {
    return 0
  }
}

function isRunning (pid: number): boolean {
  try {
    return pid > 0 && process.kill(pid, 0)
  } catch {
    return false
  }
}
