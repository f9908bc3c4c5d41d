// Bundles each program into one file in dist/, so that no TypeScript is compiled at run time.
import { build } from 'esbuild'
import { existsSync } from 'node:fs'
import { workspacePackages } from './bundle.mjs'

const programs = {
  'lavenderturn-node': 'apps/node/src/main.ts',
  'lavenderturn-ctl': 'apps/ctl/src/main.ts',
  'lavenderturn-timeline': 'apps/timeline/src/main.ts',
  'lavenderturn-load': 'apps/load/src/main.ts',
  'lavenderturn-platform': 'platform/main.ts',
  'lavenderturn-demo': 'apps/demo/src/main.ts',
  'standin-platform': 'standins/platform/src/main.ts',
  'standin-backend-server': 'standins/backend-server/src/main.ts'
}

await build({
  entryPoints: Object.entries(programs)
    .filter(([, entry]) => existsSync(entry))
    .map(([out, entry]) => ({ in: entry, out })),
  outdir: 'dist',
  outExtension: { '.js': '.mjs' },
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  packages: 'external',
  sourcemap: true,
  plugins: [workspacePackages],
  logLevel: 'warning'
})
